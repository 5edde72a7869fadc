/**
 * The coordinator's record of the load of the services that it places. A coordinator that has just
 * taken over knows nothing, so a profile is only given once the owners have reported, or have had
 * time enough to.
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
/** Report intervals after which an owner that is silent is taken to have no load. */
const SILENT_INTERVALS = 3;
/** Time after which a service of which nothing is heard or asked is forgotten. */
const RETENTION_MS = 60_000;

/**
 * Returns the time between two reports of one owner. It grows with the number of owners, so that the
 * coordinator receives a bounded number of reports a second.
 */
export function getReportIntervalMs(owners: number, minMs: number): number {
  return Math.max(minMs, owners * REPORT_INTERVAL_PER_OWNER_MS);
}

/**
 * Returns the least time between two reports of one owner where the later one is news: its load has
 * changed much, or the coordinator is another one.
 */
export function getEarlyIntervalMs(owners: number, minMs: number): number {
  return Math.max(minMs, owners * EARLY_REPORT_INTERVAL_PER_OWNER_MS);
}

/** Ratio of capacities from which the newer one counts: less is taken for noise of service times. */
const CAPACITY_STEP = 1.2;

interface ServiceBook {
  /** Time from which this daemon has asked without a break, as the coordinator does. */
  askedSinceMs: number;
  /** Time at which this daemon asked last; undefined before it has. */
  askedAtMs: number | undefined;
  /** Time at which a report came or this daemon asked. */
  usedAtMs: number;
  profile: LoadProfile;
  readonly pending: Map<string, LoadReport>;
  /** Owners and the times at which they reported last. */
  readonly reporters: Map<string, number>;
  /** Capacities that owners reported, but for small changes since. */
  readonly capacities: Map<HostName, number>;
}

/** Keeps the reports of owners. */
export class LoadBook {
  private readonly books = new Map<ServiceName, ServiceBook>();

  constructor(
    private readonly system: System,
    private readonly minReportIntervalMs: number,
  ) {}

  /** Takes a report, for the next profile that is read. */
  receiveReport(report: LoadReport): void {
    const book = this.getBook(report.service);
    const owner = formatMember(report.owner);
    book.pending.set(owner, report);
    applyCapacity(book.capacities, report);
    book.reporters.set(owner, this.system.getNow().monotonicMs);
  }

  /**
   * Returns what each owner's server can run, in requests a second; undefined while none has said so.
   * One that has not counts as the mean.
   */
  readCapacities(
    service: ServiceName,
    owners: readonly Member[],
  ): ReadonlyMap<HostName, number> | undefined {
    const known = this.books.get(service)?.capacities;
    if (known === undefined || known.size === 0) return undefined;
    const sum = [...known.values()].reduce((total, one) => total + one, 0);
    const mean = sum / known.size;
    const capacities = new Map<HostName, number>();
    for (const {host} of owners) capacities.set(host, known.get(host) ?? mean);
    return capacities;
  }

  /** Returns what the reports that were read last say of a service, for people. */
  getProfile(service: ServiceName): LoadProfile {
    return this.books.get(service)?.profile ?? EMPTY_PROFILE;
  }

  /** Returns the load of a service, or undefined while it is not known. */
  readProfile(
    service: ServiceName,
    assignment: Assignment,
  ): LoadProfile | undefined {
    const nowMs = this.system.getNow().monotonicMs;
    const book = this.getBook(service);
    const waitMs = this.getSilenceLimitMs(assignment);
    if (nowMs - (book.askedAtMs ?? -Infinity) > waitMs)
      startAsking(book, nowMs, waitMs);
    book.askedAtMs = nowMs;
    if (book.pending.size > 0) {
      const reports = [...book.pending.values()];
      book.profile = applyReports(book.profile, assignment, reports);
      book.pending.clear();
    }
    return this.isComplete(book, assignment, nowMs) ? book.profile : undefined;
  }

  /** Returns the time after which an owner that is silent is taken to have no load. */
  private getSilenceLimitMs(assignment: Assignment): number {
    const owners = listOwners(assignment).size;
    const intervalMs = getReportIntervalMs(owners, this.minReportIntervalMs);
    return intervalMs * SILENT_INTERVALS;
  }

  /** Tells whether every owner has reported of late, or has had time enough to. */
  private isComplete(
    book: ServiceBook,
    assignment: Assignment,
    nowMs: number,
  ): boolean {
    const waitMs = this.getSilenceLimitMs(assignment);
    if (nowMs - book.askedSinceMs >= waitMs) return true;
    return [...listOwners(assignment)].every(
      owner => nowMs - (book.reporters.get(owner) ?? -Infinity) < waitMs,
    );
  }

  private getBook(service: ServiceName): ServiceBook {
    const nowMs = this.system.getNow().monotonicMs;
    const present = this.books.get(service);
    if (present !== undefined && nowMs - present.usedAtMs < RETENTION_MS) {
      present.usedAtMs = nowMs;
      return present;
    }
    const book: ServiceBook = {
      askedSinceMs: nowMs,
      askedAtMs: undefined,
      usedAtMs: nowMs,
      profile: EMPTY_PROFILE,
      pending: new Map(),
      reporters: new Map(),
      capacities: new Map(),
    };
    this.books.set(service, book);
    return book;
  }
}

/** Begins to ask, as a coordinator that has just been chosen: what was reported long ago is not known any more. */
function startAsking(book: ServiceBook, nowMs: number, maxAgeMs: number): void {
  book.askedSinceMs = nowMs;
  book.profile = EMPTY_PROFILE;
  for (const [owner, reportedAtMs] of book.reporters) {
    if (nowMs - reportedAtMs < maxAgeMs) continue;
    book.reporters.delete(owner);
    book.pending.delete(owner);
  }
}

function listOwners({slices}: Assignment): ReadonlySet<string> {
  return new Set(
    slices.flatMap(({owner}) =>
      owner === undefined ? [] : [formatMember(owner)],
    ),
  );
}

/** Takes a capacity that differs enough from the one before: small changes move no keys. */
function applyCapacity(
  capacities: Map<HostName, number>,
  {owner: {host}, capacity}: LoadReport,
): void {
  if (capacity === undefined) return;
  const before = capacities.get(host) ?? 0;
  const isNear =
    capacity < before * CAPACITY_STEP && capacity * CAPACITY_STEP > before;
  if (!isNear) capacities.set(host, capacity);
}
