/**
 * The owner's part of placement by load: counts the requests that this daemon admits, and reports
 * them to the coordinator of each service. Regular reports are rarer the more owners there are; one
 * whose load has changed much, or whose coordinator is new, reports sooner.
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
  getEarlyIntervalMs,
  getReportIntervalMs,
  type LoadBook,
} from './load_book.js';
import {encodeReport} from './load_codec.js';
import type {PeerClients} from './peer_client.js';
import type {Settings} from './settings.js';
import type {StoreView} from './store_view.js';

/** Reports that are left out while a service has no load, but for one. */
const IDLE_REPORTS_SKIPPED = 10;
const MIN_REPORTED_RATE = 0.1;
/** Share of the rate that was reported last by which a rate must differ to be reported early. */
const CHANGED_SHARE = 0.5;
/** Least difference that is reported early, in requests a second: fewer requests tell nothing. */
const MIN_CHANGE = 4;

interface ServiceMeter {
  readonly meter: LoadMeter;
  generation: number;
  owned: number;
  /** Owners of the service's slices, which all report to one coordinator. */
  owners: number;
  idleReports: number;
  reportedAtMs: number;
  /** Requests a second of the last report. */
  reportedRate: number;
  /** Coordinator that the last report went to. */
  reportedTo: Member | undefined;
}

/** Counts and reports the load of this daemon's slices. */
export class LoadReporter {
  private readonly meters = new Map<ServiceName, ServiceMeter>();
  private isStopped = false;

  constructor(
    private readonly system: System,
    private readonly view: StoreView,
    private readonly peers: PeerClients,
    private readonly book: LoadBook,
    private readonly getSelf: () => Member,
    private readonly log: Log,
    private readonly pace: Settings['loadPace'],
    /** Returns what the server of a service here can run, in requests a second. */
    private readonly getCapacity: (
      service: ServiceName,
    ) => number | undefined = () => undefined,
  ) {}

  /** Counts a request that was admitted to a slice, given by its start. */
  addRequest(service: ServiceName, start: number, position: number): void {
    const nowMs = this.system.getNow().monotonicMs;
    this.meters.get(service)?.meter.addRequest(start, position, nowMs);
  }

  /** Follows an assignment. */
  applyAssignment(assignment: Assignment): void {
    const {service, generation, slices} = assignment;
    const present = this.meters.get(service);
    if (present !== undefined && present.generation >= generation) return;
    const nowMs = this.system.getNow().monotonicMs;
    const state = present ?? {
      meter: new LoadMeter(nowMs, this.pace),
      generation: 0,
      owned: 0,
      owners: 0,
      idleReports: 0,
      reportedAtMs: nowMs,
      reportedRate: 0,
      reportedTo: undefined,
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

  /** Reports until it is stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await waitFor(
        this.system,
        this.getLookIntervalMs() * (0.75 + this.system.getRandom() / 2),
      );
      if (this.isStopped) return;
      for (const [service, state] of this.meters)
        await this.readService(service, state);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Returns the time between two looks at whether a report is due. */
  private getLookIntervalMs(): number {
    let leastMs = Infinity;
    for (const {owned, owners} of this.meters.values()) {
      if (owned > 0)
        leastMs = Math.min(
          leastMs,
          getEarlyIntervalMs(owners, this.pace.reportMs),
        );
    }
    return leastMs === Infinity ? this.pace.reportMs : leastMs;
  }

  private async readService(
    service: ServiceName,
    state: ServiceMeter,
  ): Promise<void> {
    if (state.owned === 0) return;
    const nowMs = this.system.getNow().monotonicMs;
    const live = this.view.getLiveSessions().map(session => session.member);
    const chosen = chooseCoordinator(service, live);
    if (chosen === undefined) return;
    const rate = state.meter.getSettledRate(nowMs);
    const isNews =
      state.reportedTo === undefined ||
      !isSameMember(state.reportedTo, chosen) ||
      isChanged(rate, state.reportedRate);
    if (!isNews && !this.isReportDue(state, nowMs)) return;
    state.reportedAtMs = nowMs;
    if (!isNews && rate < MIN_REPORTED_RATE) {
      state.idleReports += 1;
      if (state.idleReports % IDLE_REPORTS_SKIPPED !== 1) return;
    } else {
      state.idleReports = 0;
    }
    state.reportedRate = rate;
    const report = state.meter.readReport(service, this.getSelf(), nowMs);
    const capacity = this.getCapacity(service);
    const isTaken = await this.trySendReport(
      capacity === undefined ? report : {...report, capacity},
      chosen,
    );
    state.reportedTo = isTaken ? chosen : undefined;
  }

  /** Tells whether a regular report is due; looks are too far apart to meet its time exactly. */
  private isReportDue(state: ServiceMeter, nowMs: number): boolean {
    const intervalMs = getReportIntervalMs(state.owners, this.pace.reportMs);
    const toleranceMs = this.getLookIntervalMs() / 2;
    return nowMs - state.reportedAtMs >= intervalMs - toleranceMs;
  }

  /** Sends a report; false when it was not taken. */
  private async trySendReport(
    report: LoadReport,
    chosen: Member,
  ): Promise<boolean> {
    if (isSameMember(chosen, this.getSelf())) {
      this.book.receiveReport(report);
      return true;
    }
    const address = this.view.getSession(chosen.host)?.session.peerAddress;
    if (address === undefined) return false;
    try {
      await this.peers.getClient(address).reportLoad(encodeReport(report));
      return true;
    } catch (error) {
      this.log.writeDebug('A load report was not taken.', {
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

/** Tells whether a rate differs so much from the one reported that the plan should know it soon. */
function isChanged(rate: number, reportedRate: number): boolean {
  const change = Math.abs(rate - reportedRate);
  return change >= Math.max(MIN_CHANGE, reportedRate * CHANGED_SHARE);
}
