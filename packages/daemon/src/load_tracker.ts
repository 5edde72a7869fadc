/**
 * Tracks the load of the services that this daemon coordinates, from the reports of slice owners. A
 * coordinator starts without reports, so a load profile becomes available only after every owner has
 * reported or the time limit for reports has passed.
 */
import {formatMember} from '@dottereldrift/core/member.js';
import type {System} from '@dottereldrift/core/system.js';
import type {HostName, Member, ServiceName} from '@dottereldrift/core/types.js';
import {
  applyReports,
  EMPTY_PROFILE,
} from '@dottereldrift/ownership/load_profile.js';
import type {
  LoadProfile,
  LoadReport,
} from '@dottereldrift/ownership/load_types.js';
import type {Assignment} from '@dottereldrift/ownership/types.js';

const REPORT_INTERVAL_PER_OWNER_MS = 100;
const EARLY_REPORT_INTERVAL_PER_OWNER_MS = 20;
/** Report intervals without a report after which an owner counts as having no load. */
const MAX_SILENT_INTERVALS = 3;
/** Time without reports or reads after which the state of a service is discarded. */
const RETENTION_MS = 60_000;

/**
 * Returns the interval between regular reports of one owner. It grows with the number of owners, which
 * bounds the reports per second that the coordinator receives.
 */
export function getReportIntervalMs(owners: number, minMs: number): number {
  return Math.max(minMs, owners * REPORT_INTERVAL_PER_OWNER_MS);
}

/**
 * Returns the minimum interval between two reports of one owner when the second one is sent early,
 * because the load has changed considerably or the coordinator has changed.
 */
export function getEarlyReportIntervalMs(
  owners: number,
  minMs: number,
): number {
  return Math.max(minMs, owners * EARLY_REPORT_INTERVAL_PER_OWNER_MS);
}

/** Minimum ratio between two capacities of a host for an update; less is noise of service times. */
const MIN_CAPACITY_RATIO = 1.2;

interface ServiceLoad {
  /** Start of the current period of regular profile reads, which only the coordinator performs. */
  readingSinceMs: number;
  /** Time of the last profile read; undefined before the first one. */
  lastReadAtMs: number | undefined;
  /** Time of the last report or profile read. */
  lastUsedAtMs: number;
  profile: LoadProfile;
  readonly pendingReports: Map<string, LoadReport>;
  /** Time of the last report of each owner. */
  readonly lastReportTimes: Map<string, number>;
  /** Reported capacity of each host, without later changes below the minimum ratio. */
  readonly capacities: Map<HostName, number>;
}

/** Collects the load reports of owners and derives load profiles and capacities. */
export class LoadTracker {
  private readonly services = new Map<ServiceName, ServiceLoad>();

  constructor(
    private readonly system: System,
    private readonly minReportIntervalMs: number,
  ) {}

  /** Stores a report, which the next profile read takes into account. */
  receiveReport(report: LoadReport): void {
    const load = this.getServiceLoad(report.service);
    const owner = formatMember(report.owner);
    load.pendingReports.set(owner, report);
    updateCapacity(load.capacities, report);
    load.lastReportTimes.set(owner, this.system.getNow().monotonicMs);
  }

  /**
   * Returns the capacity of each owner's backend server in requests per second, or undefined if no
   * owner has reported one. Owners without a reported capacity get the mean of the others.
   */
  getCapacities(
    service: ServiceName,
    owners: readonly Member[],
  ): ReadonlyMap<HostName, number> | undefined {
    const known = this.services.get(service)?.capacities;
    const present = owners.flatMap(({host}) => known?.get(host) ?? []);
    if (known === undefined || present.length === 0) return undefined;
    const sum = present.reduce((total, capacity) => total + capacity, 0);
    const mean = sum / present.length;
    const capacities = new Map<HostName, number>();
    for (const {host} of owners) capacities.set(host, known.get(host) ?? mean);
    return capacities;
  }

  /** Removes what is known of owners on hosts that can no longer own slices of a service. */
  removeAbsentHosts(service: ServiceName, eligible: readonly Member[]): void {
    const load = this.services.get(service);
    if (load === undefined) return;
    const hosts = new Set(eligible.map(({host}) => host));
    for (const host of load.capacities.keys())
      if (!hosts.has(host)) load.capacities.delete(host);
  }

  /** Returns the most recently computed profile of a service, for log output. */
  getProfile(service: ServiceName): LoadProfile {
    return this.services.get(service)?.profile ?? EMPTY_PROFILE;
  }

  /** Applies pending reports and returns the load of a service, or undefined while it is incomplete. */
  readProfile(
    service: ServiceName,
    assignment: Assignment,
  ): LoadProfile | undefined {
    const nowMs = this.system.getNow().monotonicMs;
    const load = this.getServiceLoad(service);
    const maxSilenceMs = this.getMaxSilenceMs(assignment);
    if (nowMs - (load.lastReadAtMs ?? -Infinity) > maxSilenceMs)
      restartReading(load, nowMs, maxSilenceMs);
    load.lastReadAtMs = nowMs;
    if (load.pendingReports.size > 0) {
      const reports = [...load.pendingReports.values()];
      load.profile = applyReports(load.profile, assignment, reports);
      load.pendingReports.clear();
    }
    return this.isProfileComplete(load, assignment, nowMs)
      ? load.profile
      : undefined;
  }

  /** Returns the time without a report after which an owner counts as having no load. */
  private getMaxSilenceMs(assignment: Assignment): number {
    const owners = listOwners(assignment).size;
    const intervalMs = getReportIntervalMs(owners, this.minReportIntervalMs);
    return intervalMs * MAX_SILENT_INTERVALS;
  }

  /** Checks whether every owner has reported recently, or the time limit for reports has passed. */
  private isProfileComplete(
    load: ServiceLoad,
    assignment: Assignment,
    nowMs: number,
  ): boolean {
    const maxSilenceMs = this.getMaxSilenceMs(assignment);
    if (nowMs - load.readingSinceMs >= maxSilenceMs) return true;
    return [...listOwners(assignment)].every(
      owner =>
        nowMs - (load.lastReportTimes.get(owner) ?? -Infinity) < maxSilenceMs,
    );
  }

  private getServiceLoad(service: ServiceName): ServiceLoad {
    const nowMs = this.system.getNow().monotonicMs;
    const existing = this.services.get(service);
    if (
      existing !== undefined &&
      nowMs - existing.lastUsedAtMs < RETENTION_MS
    ) {
      existing.lastUsedAtMs = nowMs;
      return existing;
    }
    const load: ServiceLoad = {
      readingSinceMs: nowMs,
      lastReadAtMs: undefined,
      lastUsedAtMs: nowMs,
      profile: EMPTY_PROFILE,
      pendingReports: new Map(),
      lastReportTimes: new Map(),
      capacities: new Map(),
    };
    this.services.set(service, load);
    return load;
  }
}

/** Starts a period of regular reads, as a newly chosen coordinator does, and discards old reports. */
function restartReading(
  load: ServiceLoad,
  nowMs: number,
  maxAgeMs: number,
): void {
  load.readingSinceMs = nowMs;
  load.profile = EMPTY_PROFILE;
  for (const [owner, reportedAtMs] of load.lastReportTimes) {
    if (nowMs - reportedAtMs < maxAgeMs) continue;
    load.lastReportTimes.delete(owner);
    load.pendingReports.delete(owner);
  }
}

function listOwners({slices}: Assignment): ReadonlySet<string> {
  return new Set(
    slices.flatMap(({owner}) =>
      owner === undefined ? [] : [formatMember(owner)],
    ),
  );
}

/** Updates a capacity if it differs enough from the previous one, so that small changes move no keys. */
function updateCapacity(
  capacities: Map<HostName, number>,
  {owner: {host}, capacity}: LoadReport,
): void {
  if (capacity === undefined) return;
  const previous = capacities.get(host) ?? 0;
  const isSmallChange =
    capacity < previous * MIN_CAPACITY_RATIO &&
    capacity * MIN_CAPACITY_RATIO > previous;
  if (!isSmallChange) capacities.set(host, capacity);
}
