/**
 * Renders bar charts as inline SVG, for self-contained HTML pages.
 */
import {encodeHtml} from '@dottereldrift/core/html.js';

/** One bar of a chart. */
export interface Bar {
  readonly label: string;
  readonly value: number;
  readonly color: string;
}

const ROW_HEIGHT_PX = 18;
const LABEL_WIDTH_PX = 340;
const BARS_WIDTH_PX = 480;
const VALUE_WIDTH_PX = 80;

/** Renders horizontal bars with labels and values, scaled from 0 to the largest value. */
export function formatBars(title: string, bars: readonly Bar[]): string {
  const largest = Math.max(...bars.map(bar => bar.value), Number.MIN_VALUE);
  const width = LABEL_WIDTH_PX + BARS_WIDTH_PX + VALUE_WIDTH_PX;
  const height = bars.length * ROW_HEIGHT_PX;
  const rows = bars.map((bar, index) => formatBar(bar, index, largest));
  const size = `width="${width}" height="${height}"`;
  const svg = `<svg ${size} role="img" font-family="sans-serif" font-size="12">${rows.join('')}</svg>`;
  return `<h2>${encodeHtml(title)}</h2>\n${svg}`;
}

function formatBar(bar: Bar, index: number, largest: number): string {
  const top = index * ROW_HEIGHT_PX;
  const baseline = top + ROW_HEIGHT_PX - 5;
  const length = Math.max(1, (bar.value / largest) * BARS_WIDTH_PX).toFixed(1);
  const label = `<text x="${LABEL_WIDTH_PX - 6}" y="${baseline}" text-anchor="end">${encodeHtml(bar.label)}</text>`;
  const rect = `<rect x="${LABEL_WIDTH_PX}" y="${top + 2}" width="${length}" height="${ROW_HEIGHT_PX - 4}" fill="${bar.color}"/>`;
  const valueX = LABEL_WIDTH_PX + Number(length) + 4;
  const value = `<text x="${valueX}" y="${baseline}">${bar.value.toFixed(2)}</text>`;
  return label + rect + value;
}
