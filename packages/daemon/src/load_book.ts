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
/** Report intervals after which an owner that is silent is taken to have no load. */
const SILENT_INTERVALS = 3;
/** Time after which a service that nobody asked for is forgotten. */
const RETENTION_MS = 60_000;

/**
 * Returns the time between two reports of one owner. It grows with the number of owners, so that the
 * coordinator receives a bounded number of reports a second.
 */
export function getReportIntervalMs(owners: number, minMs: number): number {
  return Math.max(minMs, owners * REPORT_INTERVAL_PER_OWNER_MS);
}

/** Ratio of capacities from which the newer one counts: less is taken for noise of service times. */
const CAPACITY_STEP = 1.2;

interface ServiceBook {
  readonly startedAtMs: number;
  askedAtMs: number;
  profile: LoadProfile;
  readonly pending: Map<string, LoadReport>;
  readonly reporters: Set<string>;
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
    book.reporters.add(owner);
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
    const waitMs =
      getReportIntervalMs(owners.size, this.minReportIntervalMs) *
      SILENT_INTERVALS;
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
