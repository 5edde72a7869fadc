/**
 * Formats the results of a run as tables of outcomes, latencies and imbalance.
 */
import {build, type Histogram} from 'hdr-histogram-js';

import type {RunRecord} from '@dottereldrift/standins/backend_server.js';

import type {LoadResult} from './load.js';

const US_PER_MS = 1_000;

/** Formats a table of outcomes and latencies, with one row for each service and request kind. */
export function formatResults(results: readonly LoadResult[]): string {
  const names = [
    ...new Set(results.map(result => `${result.service}/${result.kind}`)),
  ].sort();
  const rows = names.map(name => {
    const group = results.filter(
      result => `${result.service}/${result.kind}` === name,
    );
    return formatGroup(name, group);
  });
  const title = formatRow([
    'kind',
    'sent',
    'completed',
    'not-run',
    'unknown',
    'p50 ms',
    'p99 ms',
  ]);
  return [title, ...rows, formatGroup('all', results)].join('\n');
}

/** Formats how often each combination of outcome and code occurred, except for completed requests. */
export function formatCodes(results: readonly LoadResult[]): string {
  const counts = new Map<string, number>();
  for (const {outcome, code} of results) {
    if (outcome === 'completed') continue;
    const name = `${outcome} ${code}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return [...counts].map(([name, count]) => `${name}: ${count}`).join('\n');
}

/** Formats a table of the runs on each host, with the imbalance of each service. */
export function formatImbalance(records: readonly RunRecord[]): string {
  const services = [...new Set(records.map(record => record.service))].sort();
  const rows = services.map(service => {
    const counts = new Map<string, number>();
    for (const record of records) {
      if (record.service !== service) continue;
      counts.set(record.host, (counts.get(record.host) ?? 0) + 1);
    }
    const values = [...counts.values()];
    const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
    const imbalance = Math.max(...values) / mean;
    return formatRow([
      service,
      String(values.length),
      values.join(' '),
      imbalance.toFixed(2),
    ]);
  });
  return [formatRow(['service', 'hosts', 'runs', 'max/mean']), ...rows].join(
    '\n',
  );
}

/** Creates a histogram of the latencies of completed requests, in microseconds. */
export function createHistogram(results: readonly LoadResult[]): Histogram {
  const histogram = build({numberOfSignificantValueDigits: 3});
  for (const result of results) {
    if (result.outcome === 'completed') {
      histogram.recordValue(
        Math.max(1, Math.round(result.latencyMs * US_PER_MS)),
      );
    }
  }
  return histogram;
}

/** Returns a percentile of a latency histogram, in milliseconds. */
export function getPercentileMs(
  histogram: Histogram,
  percentile: number,
): number {
  return histogram.getValueAtPercentile(percentile) / US_PER_MS;
}

function formatGroup(name: string, group: readonly LoadResult[]): string {
  const count = (outcome: string) =>
    String(group.filter(result => result.outcome === outcome).length);
  const histogram = createHistogram(group);
  return formatRow([
    name,
    String(group.length),
    count('completed'),
    count('not-run'),
    count('unknown'),
    getPercentileMs(histogram, 50).toFixed(1),
    getPercentileMs(histogram, 99).toFixed(1),
  ]);
}

function formatRow(cells: readonly string[]): string {
  return cells
    .map((cell, index) => (index === 0 ? cell.padEnd(20) : cell.padStart(11)))
    .join(' ');
}
