/**
 * Measures the load of the slices that this daemon owns and reports it to the coordinator of each
 * service. The interval of regular reports grows with the number of owners; a considerable change of
 * load or a new coordinator causes an early report.
 */
import type {Log} from '@dottereldrift/core/log.js';
import {isSameMember} from '@dottereldrift/core/member.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {Member, ServiceName} from '@dottereldrift/core/types.js';
import {chooseCoordinator} from '@dottereldrift/ownership/coordinator_choice.js';
import {LoadMeter} from '@dottereldrift/ownership/load_meter.js';
import type {LoadReport} from '@dottereldrift/ownership/load_types.js';
import type {Assignment} from '@dottereldrift/ownership/types.js';

import {
  getEarlyReportIntervalMs,
  getReportIntervalMs,
  type LoadTracker,
} from './load_tracker.js';
import {encodeReport} from './load_codec.js';
import type {PeerClients} from './peer_client.js';
import type {Settings} from './settings.js';
import type {StoreView} from './store_view.js';

/** While a service has no load, only one in this many regular reports is sent. */
const IDLE_REPORT_INTERVAL = 10;
/** Requests per second below which a service counts as having no load. */
const MIN_REPORTED_RATE = 0.1;
/** Minimum change for an early report, as a fraction of the last reported rate. */
const MIN_RELATIVE_CHANGE = 0.5;
/** Minimum change for an early report in requests per second; smaller changes are not significant. */
const MIN_RATE_CHANGE = 4;

interface ServiceMeter {
  readonly meter: LoadMeter;
  generation: number;
  /** Slices that this daemon owns. */
  owned: number;
  /** Number of owners of the service, which all report to the same coordinator. */
  owners: number;
  /** Consecutive regular reports that were due while the service had no load. */
  idleReports: number;
  /** Time at which a report was last due or sent early, including skipped idle reports. */
  lastDueAtMs: number;
  /** Requests per second in the last report. */
  lastReportedRate: number;
  /** Coordinator that received the last report; undefined if delivery failed. */
  lastReportedTo: Member | undefined;
}

/** Measures and reports the load of this daemon's slices. */
export class LoadReporter {
  private readonly meters = new Map<ServiceName, ServiceMeter>();
  private isStopped = false;

  constructor(
    private readonly system: System,
    private readonly view: StoreView,
    private readonly peers: PeerClients,
    private readonly localLoads: LoadTracker,
    private readonly getSelf: () => Member,
    private readonly log: Log,
    private readonly settings: Settings['loadPace'],
    /** Returns the capacity of the local backend server of a service, in requests per second. */
    private readonly getCapacity: (
      service: ServiceName,
    ) => number | undefined = () => undefined,
  ) {}

  /** Counts a request that was admitted to the slice with the given start. */
  addRequests(
    service: ServiceName,
    start: number,
    position: number,
    count: number,
  ): void {
    const nowMs = this.system.getNow().monotonicMs;
    this.meters.get(service)?.meter.addRequests(start, position, count, nowMs);
  }

  /** Updates the measured slices from an assignment that is newer than the last one. */
  applyAssignment(assignment: Assignment): void {
    const {service, generation, slices} = assignment;
    const existing = this.meters.get(service);
    if (existing !== undefined && existing.generation >= generation) return;
    const nowMs = this.system.getNow().monotonicMs;
    const state = existing ?? {
      meter: new LoadMeter(nowMs, this.settings),
      generation: 0,
      owned: 0,
      owners: 0,
      idleReports: 0,
      lastDueAtMs: nowMs,
      lastReportedRate: 0,
      lastReportedTo: undefined,
    };
    const self = this.getSelf();
    state.generation = generation;
    state.owned = slices.filter(
      slice => slice.owner !== undefined && isSameMember(slice.owner, self),
    ).length;
    state.owners = countOwners(assignment);
    state.meter.applyAssignment(assignment, self, nowMs);
    this.meters.set(service, state);
  }

  /** Sends reports until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await waitFor(
        this.system,
        this.getPollIntervalMs() * (0.75 + this.system.getRandom() / 2),
      );
      if (this.isStopped) return;
      for (const [service, state] of this.meters)
        await this.sendReportIfDue(service, state);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Returns the interval between two checks whether a report is due. */
  private getPollIntervalMs(): number {
    let leastMs = Infinity;
    for (const {owned, owners} of this.meters.values()) {
      if (owned > 0)
        leastMs = Math.min(
          leastMs,
          getEarlyReportIntervalMs(owners, this.settings.reportMs),
        );
    }
    return leastMs === Infinity ? this.settings.reportMs : leastMs;
  }

  private async sendReportIfDue(
    service: ServiceName,
    state: ServiceMeter,
  ): Promise<void> {
    if (state.owned === 0) return;
    const nowMs = this.system.getNow().monotonicMs;
    const live = this.view.getLiveMembers();
    const coordinator = chooseCoordinator(service, live);
    if (coordinator === undefined) return;
    const rate = state.meter.getSettledRate(nowMs);
    const isEarly =
      state.lastReportedTo === undefined ||
      !isSameMember(state.lastReportedTo, coordinator) ||
      hasRateChanged(rate, state.lastReportedRate);
    if (!isEarly && !this.isReportDue(state, nowMs)) return;
    state.lastDueAtMs = nowMs;
    if (!isEarly && rate < MIN_REPORTED_RATE) {
      state.idleReports += 1;
      if (state.idleReports % IDLE_REPORT_INTERVAL !== 1) return;
    } else {
      state.idleReports = 0;
    }
    state.lastReportedRate = rate;
    const report = state.meter.readReport(service, this.getSelf(), nowMs);
    const capacity = this.getCapacity(service);
    const isDelivered = await this.trySendReport(
      capacity === undefined ? report : {...report, capacity},
      coordinator,
    );
    state.lastReportedTo = isDelivered ? coordinator : undefined;
  }

  /** Checks whether a regular report is due, with a tolerance because polling cannot hit the exact time. */
  private isReportDue(state: ServiceMeter, nowMs: number): boolean {
    const intervalMs = getReportIntervalMs(
      state.owners,
      this.settings.reportMs,
    );
    const toleranceMs = this.getPollIntervalMs() / 2;
    return nowMs - state.lastDueAtMs >= intervalMs - toleranceMs;
  }

  /** Sends a report; returns false if it was not delivered. */
  private async trySendReport(
    report: LoadReport,
    coordinator: Member,
  ): Promise<boolean> {
    if (isSameMember(coordinator, this.getSelf())) {
      this.localLoads.receiveReport(report);
      return true;
    }
    const address = this.view.getSession(coordinator.host)?.session.peerAddress;
    if (address === undefined) return false;
    try {
      await this.peers.getClient(address).reportLoad(encodeReport(report));
      return true;
    } catch (error) {
      this.log.writeDebug('Failed to deliver a load report.', {
        reason: String(error),
      });
      return false;
    }
  }
}

function countOwners({slices}: Assignment): number {
  const hosts = new Set(slices.flatMap(({owner}) => owner?.host ?? []));
  return hosts.size;
}

/** Checks whether the rate has changed enough since the last report to send an early one. */
function hasRateChanged(rate: number, lastReportedRate: number): boolean {
  const change = Math.abs(rate - lastReportedRate);
  return (
    change >= Math.max(MIN_RATE_CHANGE, lastReportedRate * MIN_RELATIVE_CHANGE)
  );
}
