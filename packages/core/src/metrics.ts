/**
 * Interface for metrics, and an implementation that sends them as StatsD lines over UDP.
 */
import type {StatsD} from 'hot-shots';

import {getErrorText} from './errors.js';
import type {Log} from './log.js';
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

/** Imports the StatsD library on creation only, because most daemons don't use it and must start quickly. */
class StatsdMetrics implements Metrics {
  private client: StatsD | undefined;
  private isClosed = false;
  private hasFailed = false;

  constructor(
    target: Address,
    private readonly log: Log,
  ) {
    this.open(target).catch((error: unknown) => {
      this.recordFailure(error);
    });
  }

  addCount(name: string, count: number, tags: MetricTags = {}): void {
    this.client?.increment(name, count, {...tags});
  }

  recordGauge(name: string, value: number, tags: MetricTags = {}): void {
    this.client?.gauge(name, value, {...tags});
  }

  recordDurationMs(
    name: string,
    durationMs: number,
    tags: MetricTags = {},
  ): void {
    this.client?.timing(name, durationMs, {...tags});
  }

  close(): void {
    this.isClosed = true;
    this.client?.close();
  }

  private async open({ip, port}: Address): Promise<void> {
    const {StatsD: Client} = await import('hot-shots');
    if (this.isClosed) return;
    this.client = new Client({
      host: ip,
      port,
      prefix: METRIC_PREFIX,
      maxBufferSize: MAX_DATAGRAM_BYTES,
      errorHandler: error => {
        this.recordFailure(error);
      },
    });
  }

  /** Logs only the first failure, because metrics are not acknowledged and later failures add no information. */
  private recordFailure(error: unknown): void {
    if (this.hasFailed) return;
    this.hasFailed = true;
    this.log.writeWarning(
      'Cannot send metrics; later failures are not logged.',
      {
        reason: getErrorText(error),
      },
    );
  }
}

class NoopMetrics implements Metrics {
  addCount(): void {}
  recordGauge(): void {}
  recordDurationMs(): void {}
  close(): void {}
}

/** Creates metrics that are sent to a StatsD address, or discarded if there is none. */
export function createMetrics(target: Address | undefined, log: Log): Metrics {
  return target === undefined
    ? new NoopMetrics()
    : new StatsdMetrics(target, log);
}
