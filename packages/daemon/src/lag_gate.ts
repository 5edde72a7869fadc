/**
 * Refuses requests that this daemon reads too late, because its event loop lags, and logs once a second how many
 * were refused and started and what the processor did meanwhile. The requests themselves are not read, so no other
 * line shows them. Requests of callers are refused before those of other daemons, in which work has been invested
 * already: another daemon's, and often that of a server whose run waits for the response.
 */
import type {Log} from '@dottereldrift/core/log.js';
import type {System} from '@dottereldrift/core/system.js';

import type {RequestSource} from './headers.js';
import type {LoopMonitor} from './loop_monitor.js';
import type {RequestTally} from './request_tally.js';

/** Lag above which requests of callers are refused: half of the shortest response time goal of the users. */
const MAX_CALLER_LAG_MS = 100;
/**
 * Lag above which requests of other daemons are refused. The deadlines of requests between servers are 200 to 600 ms
 * at the users; a lag beyond this leaves most of them no time.
 */
const MAX_PEER_LAG_MS = 300;
const MAX_LAG_MS: Readonly<Record<RequestSource, number>> = {
  caller: MAX_CALLER_LAG_MS,
  peer: MAX_PEER_LAG_MS,
};
const REPORT_INTERVAL_MS = 1_000;
const US_PER_MS = 1_000;

/** Requests that were read during one report interval. */
interface IntervalCounts {
  readonly startedAtMs: number;
  readonly processorUs: number;
  readonly started: Record<RequestSource, number>;
  readonly refused: Record<RequestSource, number>;
  maxLagMs: number;
}

/** Admits requests by the lag of the event loop. */
export class LagGate {
  /** Counts since the first refusal that is not logged yet; undefined when there is none. */
  private interval: IntervalCounts | undefined;

  constructor(
    private readonly system: System,
    private readonly monitor: Pick<LoopMonitor, 'getLagMs'>,
    private readonly tally: Pick<RequestTally, 'observeUnread'>,
    private readonly log: Log,
  ) {}

  /** Returns false, and counts a refusal, if a request that has waited in this process is read too late. */
  tryAdmit(source: RequestSource, waitedMs: number): boolean {
    const lagMs = Math.max(waitedMs, this.monitor.getLagMs());
    if (lagMs <= MAX_LAG_MS[source]) return true;
    this.tally.observeUnread('DD3034');
    const interval = this.getInterval();
    interval.refused[source] += 1;
    interval.maxLagMs = Math.max(interval.maxLagMs, lagMs);
    return false;
  }

  /** Counts a request that was started. */
  observeStart(source: RequestSource): void {
    if (this.interval !== undefined) this.interval.started[source] += 1;
  }

  private getInterval(): IntervalCounts {
    if (this.interval !== undefined) return this.interval;
    const interval: IntervalCounts = {
      startedAtMs: this.system.getNow().monotonicMs,
      processorUs: readProcessorUs(),
      started: {caller: 0, peer: 0},
      refused: {caller: 0, peer: 0},
      maxLagMs: 0,
    };
    this.interval = interval;
    this.system.startTimer(REPORT_INTERVAL_MS, () => {
      this.interval = undefined;
      this.writeReport(interval);
    });
    return interval;
  }

  private writeReport({
    startedAtMs,
    processorUs,
    started,
    refused,
    maxLagMs,
  }: IntervalCounts): void {
    const elapsedMs = this.system.getNow().monotonicMs - startedAtMs;
    this.log.writeWarning(
      'Requests were refused because the event loop lags.',
      {
        elapsedMs: Math.round(elapsedMs),
        processorMs: Math.round((readProcessorUs() - processorUs) / US_PER_MS),
        maxLagMs: Math.round(maxLagMs),
        callersRefused: refused.caller,
        callersStarted: started.caller,
        peersRefused: refused.peer,
        peersStarted: started.peer,
      },
    );
  }
}

/** Returns the processor time that this process has used, in microseconds. */
function readProcessorUs(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}
