/**
 * Sends gauges at a fixed interval: lease, requests, slots, store calls, link, event loop lag and process usage.
 */
import type {Metrics} from '@dottereldrift/core/metrics.js';
import type {System} from '@dottereldrift/core/system.js';
import type {EgressPacer} from '@dottereldrift/limits/egress_pacer.js';

import type {LoopMonitor} from './loop_monitor.js';
import type {StatusReader} from './status.js';

const REPORT_INTERVAL_MS = 10_000;
const US_PER_SECOND = 1e6;

/** Sends gauges until it is stopped. */
export class GaugeReporter {
  private cancel: () => void = () => {};

  constructor(
    private readonly system: System,
    private readonly metrics: Metrics,
    private readonly status: StatusReader,
    private readonly loop: Pick<LoopMonitor, 'takeP99LagMs'>,
    /** Undefined when this host's responses are not paced. */
    private readonly pacer?: Pick<EgressPacer, 'getQueuedBytes'>,
  ) {}

  start(): void {
    this.cancel = this.system.startTimer(REPORT_INTERVAL_MS, () => {
      this.sendReport();
      this.start();
    });
  }

  stop(): void {
    this.cancel();
  }

  private sendReport(): void {
    const status = this.status.readStatus();
    const {metrics} = this;
    metrics.recordGauge('lease.held', status.isLeaseHeld ? 1 : 0);
    metrics.recordGauge('lease.remaining_ms', status.leaseRemainingMs);
    metrics.recordGauge('manifest.generation', status.manifestGeneration);
    metrics.recordGauge('hosts.live', status.liveHosts);
    metrics.recordGauge('store.era', status.storeEra);
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
    if (this.pacer !== undefined)
      metrics.recordGauge('link.queued_bytes', this.pacer.getQueuedBytes());
    metrics.recordGauge('loop.delay_p99_ms', this.loop.takeP99LagMs());
    metrics.recordGauge('memory.rss_bytes', process.memoryUsage().rss);
    const {user, system} = process.cpuUsage();
    metrics.recordGauge('processor.seconds', (user + system) / US_PER_SECOND);
  }
}
