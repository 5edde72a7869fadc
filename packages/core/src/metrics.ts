/**
 * Metrics, sent as StatsD lines over UDP.
 */
import {StatsD} from 'hot-shots';

import type {Address} from './types.js';

/** Labels of a metric. */
export type MetricTags = Readonly<Record<string, string>>;

/** Records measurements. */
export interface Metrics {
  addCount(name: string, count: number, tags?: MetricTags): void;
  recordGauge(name: string, value: number, tags?: MetricTags): void;
  recordDurationMs(name: string, durationMs: number, tags?: MetricTags): void;
  close(): void;
}

const METRIC_PREFIX = 'dottereldrift.';
const MAX_DATAGRAM_BYTES = 1400;

class StatsdMetrics implements Metrics {
  constructor(private readonly client: StatsD) {}

  addCount(name: string, count: number, tags: MetricTags = {}): void {
    this.client.increment(name, count, {...tags});
  }

  recordGauge(name: string, value: number, tags: MetricTags = {}): void {
    this.client.gauge(name, value, {...tags});
  }

  recordDurationMs(
    name: string,
    durationMs: number,
    tags: MetricTags = {},
  ): void {
    this.client.timing(name, durationMs, {...tags});
  }

  close(): void {
    this.client.close();
  }
}

class NoMetrics implements Metrics {
  addCount(): void {}
  recordGauge(): void {}
  recordDurationMs(): void {}
  close(): void {}
}

/** Creates metrics that are sent to a StatsD address, or dropped when there is none. */
export function createMetrics(target: Address | undefined): Metrics {
  if (target === undefined) return new NoMetrics();
  const client = new StatsD({
    host: target.ip,
    port: target.port,
    prefix: METRIC_PREFIX,
    maxBufferSize: MAX_DATAGRAM_BYTES,
    errorHandler: () => {},
  });
  return new StatsdMetrics(client);
}
