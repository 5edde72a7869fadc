/**
 * Keeps metrics in memory and exports them in the Prometheus text format.
 */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

import type {Metrics, MetricTags} from './metrics.js';

const PREFIX = 'dottereldrift_';
/** Histogram buckets for durations, chosen around the latency goals and deadlines that users configure. */
const DURATION_BUCKETS_MS = [
  5, 10, 25, 50, 100, 150, 200, 250, 400, 600, 1_000, 2_000,
];

/** Metrics that are read as text on request. */
export class TextMetrics implements Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly histograms = new Map<string, Histogram>();

  addCount(name: string, count: number, tags: MetricTags = {}): void {
    const counter = getOrCreate(this.counters, name, () => {
      return new Counter(this.createOptions(name, '_total', tags));
    });
    counter.inc({...tags}, count);
  }

  recordGauge(name: string, value: number, tags: MetricTags = {}): void {
    const gauge = getOrCreate(this.gauges, name, () => {
      return new Gauge(this.createOptions(name, '', tags));
    });
    gauge.set({...tags}, value);
  }

  recordDurationMs(
    name: string,
    durationMs: number,
    tags: MetricTags = {},
  ): void {
    const histogram = getOrCreate(this.histograms, name, () => {
      const options = this.createOptions(name, '_ms', tags);
      return new Histogram({...options, buckets: DURATION_BUCKETS_MS});
    });
    histogram.observe({...tags}, durationMs);
  }

  /** Returns all metrics in the Prometheus text format. */
  getText(): Promise<string> {
    return this.registry.metrics();
  }

  close(): void {
    this.registry.clear();
  }

  /** The first use of a metric determines its labels. */
  private createOptions(name: string, suffix: string, tags: MetricTags) {
    return {
      name: `${PREFIX}${name.replaceAll('.', '_')}${suffix}`,
      help: `${name} of this daemon`,
      labelNames: Object.keys(tags),
      registers: [this.registry],
    };
  }
}

function getOrCreate<T>(
  metrics: Map<string, T>,
  name: string,
  create: () => T,
): T {
  const existing = metrics.get(name);
  if (existing !== undefined) return existing;
  const created = create();
  metrics.set(name, created);
  return created;
}
