/**
 * Metrics that are kept in memory and read as text, in the exposition format of Prometheus.
 */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

import type {Metrics, MetricTags} from './metrics.js';

const PREFIX = 'dottereldrift_';
/** Bounds of durations, in milliseconds: around the goals and deadlines that users name. */
const BOUNDS_MS = [5, 10, 25, 50, 100, 150, 200, 250, 400, 600, 1_000, 2_000];

/** Keeps measurements until they are read. */
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
      return new Histogram({...options, buckets: BOUNDS_MS});
    });
    histogram.observe({...tags}, durationMs);
  }

  /** Returns all metrics as text. */
  getText(): Promise<string> {
    return this.registry.metrics();
  }

  close(): void {
    this.registry.clear();
  }

  /** The labels of a metric are those that it is first used with. */
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
  present: Map<string, T>,
  name: string,
  create: () => T,
): T {
  const known = present.get(name);
  if (known !== undefined) return known;
  const created = create();
  present.set(name, created);
  return created;
}
