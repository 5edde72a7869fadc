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

const MIN_REPORT_INTERVAL_MS = 2_000;
const REPORT_INTERVAL_PER_OWNER_MS = 100;
/** Report intervals after which an owner that is silent is taken to have no load. */
const SILENT_INTERVALS = 3;
/** Time after which a service that nobody asked for is forgotten. */
const RETENTION_MS = 60_000;

/**
 * Returns the time between two reports of one owner. It grows with the number of owners, so that the
 * coordinator receives a bounded number of reports a second.
 */
export function getReportIntervalMs(owners: number): number {
  return Math.max(
    MIN_REPORT_INTERVAL_MS,
    owners * REPORT_INTERVAL_PER_OWNER_MS,
  );
}

/** Ratio of two steps of capacities: what differs less is taken for noise of service times. */
const CAPACITY_STEP = 1.2;

interface ServiceBook {
  readonly startedAtMs: number;
  askedAtMs: number;
  profile: LoadProfile;
  readonly pending: Map<string, LoadReport>;
  readonly reporters: Set<string>;
  /** Capacities that owners reported last. */
  readonly capacities: Map<HostName, number>;
}

/** Keeps the reports of owners. */
export class LoadBook {
  private readonly books = new Map<ServiceName, ServiceBook>();

  constructor(private readonly system: System) {}

  /** Takes a report, for the next profile that is read. */
  receiveReport(report: LoadReport): void {
    const book = this.getBook(report.service);
    const owner = formatMember(report.owner);
    book.pending.set(owner, report);
    if (report.capacity !== undefined)
      book.capacities.set(report.owner.host, report.capacity);
    book.reporters.add(owner);
  }

  /**
   * Returns what each owner's server can run, in requests a second, in steps, so that small changes
   * move no keys; undefined while none
   * has said so. One that has not counts as the mean.
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
    for (const {host} of owners)
      capacities.set(host, getCapacityStep(known.get(host) ?? mean));
    return capacities;
  }

  /** Returns the load of a service, or undefined while it is not known. */
  readProfile(
    service: ServiceName,
    assignment: Assignment,
  ): LoadProfile | undefined {
    const nowMs = this.system.getNow().monotonicMs;
    const book = this.getBook(service);
    book.askedAtMs = nowMs;
    if (book.pending.size > 0) {
      const reports = [...book.pending.values()];
      book.profile = applyReports(book.profile, assignment, reports);
      book.pending.clear();
    }
    return this.isComplete(book, assignment, nowMs) ? book.profile : undefined;
  }

  private isComplete(
    book: ServiceBook,
    assignment: Assignment,
    nowMs: number,
  ): boolean {
    const owners = new Set(
      assignment.slices.flatMap(({owner}) =>
        owner === undefined ? [] : [formatMember(owner)],
      ),
    );
    const waitMs = getReportIntervalMs(owners.size) * SILENT_INTERVALS;
    if (nowMs - book.startedAtMs >= waitMs) return true;
    return [...owners].every(owner => book.reporters.has(owner));
  }

  private getBook(service: ServiceName): ServiceBook {
    const nowMs = this.system.getNow().monotonicMs;
    const present = this.books.get(service);
    if (present !== undefined && nowMs - present.askedAtMs < RETENTION_MS)
      return present;
    const book = {
      startedAtMs: nowMs,
      askedAtMs: nowMs,
      profile: EMPTY_PROFILE,
      pending: new Map<string, LoadReport>(),
      reporters: new Set<string>(),
      capacities: new Map<HostName, number>(),
    };
    this.books.set(service, book);
    return book;
  }
}

/** Returns the nearest step; each is a fifth above the one before. */
function getCapacityStep(capacity: number): number {
  const step = Math.round(Math.log(capacity) / Math.log(CAPACITY_STEP));
  return CAPACITY_STEP ** step;
}
