/**
 * Formats the report on error budget burn as a self-contained HTML page with plots.
 */
import {encodeHtml} from '@dottereldrift/core/html.js';
import type {
  BurnPoint,
  KindReport,
  WindowBurn,
} from '@dottereldrift/daemon/burn_report.js';

const MS_PER_MINUTE = 60_000;
const MS_PER_HOUR = 60 * MS_PER_MINUTE;
/** Time range of a plot, equal to the period that the report covers. */
const PLOT_RANGE_MS = 6 * MS_PER_HOUR;
/** Time that a bar covers, equal to that of a point in the report. */
const BAR_DURATION_MS = 5 * MS_PER_MINUTE;

const WIDTH_PX = 720;
const HEIGHT_PX = 160;
const LEFT_PX = 48;
const TOP_PX = 10;
const BOTTOM_PX = 22;
const PLOT_WIDTH_PX = WIDTH_PX - LEFT_PX - 10;
const PLOT_HEIGHT_PX = HEIGHT_PX - TOP_PX - BOTTOM_PX;
/** Lower bound of the burn at the top of a plot; a higher point raises it. */
const MIN_AXIS_TOP_BURN = 2;

const LEVEL_COLORS = {none: '#1a7f37', slow: '#9a6700', fast: '#cf222e'};

const STYLE = [
  'body{font-family:sans-serif;margin:2em;max-width:60em}',
  'table{border-collapse:collapse;margin:.5em 0}',
  'td,th{border:1px solid #d0d7de;padding:.2em .7em;text-align:right}',
  'svg{display:block;margin:.5em 0}',
].join('\n');

/** Formats the complete page. */
export function formatReportPage(value: unknown): string {
  const reports = value as readonly KindReport[];
  const head = `<meta charset="utf-8">\n<title>Service-level burn</title>\n<style>\n${STYLE}\n</style>`;
  const intro =
    '<p>Burn is the share of bad answers divided by the share that the objective allows: at 1 the error budget is spent exactly as fast as allowed. The dashed line is at 1. Each bar covers five minutes.</p>';
  const sections = reports.map(formatSection).join('\n');
  return `<!doctype html>\n<html lang="en">\n<head>\n${head}\n</head>\n<body>\n<h1>Service-level burn</h1>\n${intro}\n${sections}\n</body>\n</html>\n`;
}

function formatSection(report: KindReport): string {
  const {service, kind, level} = report;
  const objective = (report.objective * 100).toFixed(3);
  const title = `<h2>${encodeHtml(service)} / ${encodeHtml(kind)}</h2>`;
  const state = `<p>Objective ${objective}%. Burn: <b style="color:${LEVEL_COLORS[level]}">${level}</b>.</p>`;
  return [title, state, formatWindows(report.windows), formatPlot(report)].join(
    '\n',
  );
}

function formatWindows(windows: readonly WindowBurn[]): string {
  const rows = windows.map(
    ({windowMs, good, bad, burn}) =>
      `<tr><td>${windowMs / MS_PER_MINUTE} min</td><td>${good}</td><td>${bad}</td><td>${burn.toFixed(2)}</td></tr>`,
  );
  const header =
    '<tr><th>window</th><th>good</th><th>bad</th><th>burn</th></tr>';
  return `<table>\n${[header, ...rows].join('\n')}\n</table>`;
}

function formatPlot({points, objective}: KindReport): string {
  const burns = points.map(point => computeBurn(point, objective));
  const axisTopBurn = Math.max(MIN_AXIS_TOP_BURN, ...burns);
  const bars = points.map((point, index) =>
    formatBar(point, burns[index] ?? 0, axisTopBurn),
  );
  const parts = [
    formatAxes(axisTopBurn),
    ...bars,
    formatHorizontalLine(
      computeY(1, axisTopBurn),
      '#57606a',
      ' stroke-dasharray="4 3"',
    ),
  ];
  return `<svg width="${WIDTH_PX}" height="${HEIGHT_PX}" role="img" aria-label="Burn over six hours" font-family="sans-serif" font-size="11">\n${parts.join('\n')}\n</svg>`;
}

function formatBar(
  point: BurnPoint,
  burn: number,
  axisTopBurn: number,
): string {
  const left = LEFT_PX + (1 - point.ageMs / PLOT_RANGE_MS) * PLOT_WIDTH_PX;
  const width = (BAR_DURATION_MS / PLOT_RANGE_MS) * PLOT_WIDTH_PX - 1;
  const y = computeY(burn, axisTopBurn);
  const height = TOP_PX + PLOT_HEIGHT_PX - y;
  const color = burn > 1 ? LEVEL_COLORS.fast : LEVEL_COLORS.none;
  const title = `<title>${point.good} good, ${point.bad} bad, burn ${burn.toFixed(2)}</title>`;
  return `<rect x="${left.toFixed(1)}" y="${y.toFixed(1)}" width="${width.toFixed(1)}" height="${Math.max(1, height).toFixed(1)}" fill="${color}">${title}</rect>`;
}

function formatAxes(axisTopBurn: number): string {
  const baselineY = TOP_PX + PLOT_HEIGHT_PX;
  const hourLabels = [6, 5, 4, 3, 2, 1, 0].map(hour => {
    const x =
      LEFT_PX + (1 - (hour * MS_PER_HOUR) / PLOT_RANGE_MS) * PLOT_WIDTH_PX;
    const label = hour === 0 ? 'now' : `${hour} h ago`;
    return `<text x="${x.toFixed(1)}" y="${HEIGHT_PX - 6}" text-anchor="middle">${label}</text>`;
  });
  const burnLabels = [0, axisTopBurn].map(
    burn =>
      `<text x="${LEFT_PX - 6}" y="${(computeY(burn, axisTopBurn) + 4).toFixed(1)}" text-anchor="end">${burn.toFixed(1)}</text>`,
  );
  return [
    formatHorizontalLine(baselineY, '#8c959f', ''),
    ...hourLabels,
    ...burnLabels,
  ].join('\n');
}

function formatHorizontalLine(
  y: number,
  color: string,
  dashAttribute: string,
): string {
  return `<line x1="${LEFT_PX}" x2="${LEFT_PX + PLOT_WIDTH_PX}" y1="${y.toFixed(1)}" y2="${y.toFixed(1)}" stroke="${color}"${dashAttribute}/>`;
}

function computeY(burn: number, axisTopBurn: number): number {
  return TOP_PX + PLOT_HEIGHT_PX * (1 - burn / axisTopBurn);
}

function computeBurn({good, bad}: BurnPoint, objective: number): number {
  const total = good + bad;
  return total === 0 ? 0 : bad / total / (1 - objective);
}
