/**
 * Sends gauges at a steady pace: the lease, the work at hand, and how far the event loop lags.
 */
import {type IntervalHistogram, monitorEventLoopDelay} from 'node:perf_hooks';

import type {Metrics} from '@dottereldrift/core/metrics.js';
import type {System} from '@dottereldrift/core/system.js';

import type {StatusReader} from './status.js';

const REPORT_INTERVAL_MS = 10_000;
const LOOP_RESOLUTION_MS = 20;
const NS_PER_MS = 1e6;
const US_PER_SECOND = 1e6;
const TAIL_PERCENTILE = 99;

/** Reports gauges until it is stopped. */
export class GaugeReporter {
  private readonly loopDelay: IntervalHistogram;
  private cancel: () => void = () => {};

  constructor(
    private readonly system: System,
    private readonly metrics: Metrics,
    private readonly status: StatusReader,
  ) {
    this.loopDelay = monitorEventLoopDelay({resolution: LOOP_RESOLUTION_MS});
  }

  start(): void {
    this.loopDelay.enable();
    this.waitForReport();
  }

  stop(): void {
    this.cancel();
    this.loopDelay.disable();
  }

  private waitForReport(): void {
    this.cancel = this.system.startTimer(REPORT_INTERVAL_MS, () => {
      this.sendReport();
      this.waitForReport();
    });
  }

  private sendReport(): void {
    const status = this.status.readStatus();
    const {metrics} = this;
    metrics.recordGauge('lease.held', status.isLeaseHeld ? 1 : 0);
    metrics.recordGauge('lease.remaining_ms', status.leaseRemainingMs);
    metrics.recordGauge('manifest.generation', status.manifestGeneration);
    metrics.recordGauge('hosts.live', status.liveHosts);
    metrics.recordGauge('store.calls', status.control.storeCalls);
    metrics.recordGauge('store.writes', status.control.storeWrites);
    for (const service of status.services) {
      const tags = {service: service.service};
      metrics.recordGauge('slices.owned', service.ownedSlices, tags);
      metrics.recordGauge('requests.running', service.running, tags);
      metrics.recordGauge('requests.queued', service.queued, tags);
      metrics.recordGauge('slots.total', service.slots, tags);
      metrics.recordGauge('slots.reserved', service.reserved, tags);
    }
    const delayNs = this.loopDelay.percentile(TAIL_PERCENTILE);
    metrics.recordGauge('loop.delay_p99_ms', delayNs / NS_PER_MS);
    metrics.recordGauge('memory.rss_bytes', process.memoryUsage().rss);
    const {user, system} = process.cpuUsage();
    metrics.recordGauge('processor.seconds', (user + system) / US_PER_SECOND);
    this.loopDelay.reset();
  }
}
