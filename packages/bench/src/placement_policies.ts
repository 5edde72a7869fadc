/**
 * Implements the compared placement policies: rendezvous hashing, slices balanced by number, and slices
 * balanced by load.
 */
import type {Member} from '@dottereldrift/core/types.js';
import {LoadMeter} from '@dottereldrift/ownership/load_meter.js';
import {
  applyReports,
  EMPTY_PROFILE,
} from '@dottereldrift/ownership/load_profile.js';
import type {LoadProfile} from '@dottereldrift/ownership/load_types.js';
import {planAssignment} from '@dottereldrift/ownership/placement.js';
import {findSliceIndex} from '@dottereldrift/ownership/slices.js';
import type {Assignment, Slice} from '@dottereldrift/ownership/types.js';

/** Maps keys to owners and reacts to changes of members and load. */
export interface PlacementPolicy {
  readonly name: string;
  /** Returns the host that owns a ring position. */
  findHost(position: number): string | undefined;
  /** Applies a change of members, moving keys as the policy requires. */
  applyMembers(members: readonly Member[], nowMs: number): void;
  /** Counts a request towards the load of its owner. */
  addRequest(position: number, nowMs: number): void;
  /** Rebalances owned keys until the assignment no longer changes. */
  plan(nowMs: number): void;
  /** Returns a number that increases whenever the owner of a key may have changed. */
  getVersion(): number;
  /** Returns how many slices have been moved between live owners so far. */
  getMoves(): number;
  getSliceCount(): number;
  /** Returns the longest duration of one planning step, in milliseconds. */
  getLongestPlanMs(): number;
}

/** Rendezvous hashing: each key belongs to the member with the highest hash for it. */
export class RendezvousPolicy implements PlacementPolicy {
  readonly name = 'rendezvous';
  private members: readonly Member[] = [];
  private version = 0;

  findHost(position: number): string | undefined {
    let best: string | undefined;
    let bestRank = -1;
    for (const {host} of this.members) {
      const rank = hashPair(position, Number(host.slice(1)));
      if (rank <= bestRank) continue;
      best = host;
      bestRank = rank;
    }
    return best;
  }

  applyMembers(members: readonly Member[]): void {
    this.members = members;
    this.version += 1;
  }

  addRequest(): void {}

  plan(): void {}

  getVersion(): number {
    return this.version;
  }

  getMoves(): number {
    return 0;
  }

  getSliceCount(): number {
    return 0;
  }

  getLongestPlanMs(): number {
    return 0;
  }
}

const WRITER: Member = {host: 'writer', incarnation: 'a'};
const SLICES_PER_SERVER = 64;
const MAX_PLANS = 100;
const MIN_REPORT_INTERVAL_MS = 2_000;
const REPORT_INTERVAL_PER_OWNER_MS = 100;

/** Slice placement, balanced by observed load or by the number of slices. */
export class SlicePolicy implements PlacementPolicy {
  readonly name: string;
  private members: readonly Member[] = [];
  private current: Assignment | undefined;
  private profile: LoadProfile = EMPTY_PROFILE;
  private readonly meters = new Map<string, LoadMeter>();
  private readonly lastReportAtMs = new Map<string, number>();
  private moves = 0;
  private longestPlanMs = 0;

  constructor(private readonly isByLoad: boolean) {
    this.name = isByLoad ? 'slices by load' : 'slices by number';
  }

  findHost(position: number): string | undefined {
    const slices = this.current?.slices ?? [];
    return slices[findSliceIndex(slices, position)]?.owner?.host;
  }

  applyMembers(members: readonly Member[], nowMs: number): void {
    this.members = members;
    members.forEach(({host}, index) => {
      if (this.meters.has(host)) return;
      this.meters.set(host, new LoadMeter(nowMs));
      // Staggers the reports of the owners over one interval.
      const intervalMs = this.getReportIntervalMs();
      this.lastReportAtMs.set(
        host,
        nowMs + (index / members.length - 1) * intervalMs,
      );
    });
    this.plan(nowMs);
  }

  addRequest(position: number, nowMs: number): void {
    if (!this.isByLoad) return;
    const slices = this.current?.slices ?? [];
    const slice = slices[findSliceIndex(slices, position)];
    if (slice?.owner === undefined) return;
    this.meters
      .get(slice.owner.host)
      ?.addRequests(slice.start, position, 1, nowMs);
  }

  plan(nowMs: number): void {
    this.applyDueReports(nowMs);
    for (let plans = 0; plans < MAX_PLANS; plans++) {
      if (!this.planOnce(nowMs)) return;
    }
  }

  getVersion(): number {
    return this.current?.generation ?? 0;
  }

  getMoves(): number {
    return this.moves;
  }

  getSliceCount(): number {
    return this.current?.slices.length ?? 0;
  }

  getLongestPlanMs(): number {
    return this.longestPlanMs;
  }

  private planOnce(nowMs: number): boolean {
    const startMs = performance.now();
    const live = new Set(this.members.map(member => member.host));
    const next = planAssignment({
      service: 'menu',
      writer: WRITER,
      present: this.current,
      eligible: this.members,
      isEnded: member => !live.has(member.host),
      released: (this.current?.slices ?? []).filter(isMoving),
      slicesPerServer: SLICES_PER_SERVER,
      profile: this.profile,
    });
    this.longestPlanMs = Math.max(
      this.longestPlanMs,
      performance.now() - startMs,
    );
    if (next === undefined) return false;
    this.moves += next.slices.filter(isMoving).length;
    this.current = next;
    for (const member of this.members)
      this.meters.get(member.host)?.applyAssignment(next, member, nowMs);
    return true;
  }

  private applyDueReports(nowMs: number): void {
    if (!this.isByLoad || this.current === undefined) return;
    const due = this.members.filter(
      ({host}) =>
        nowMs - (this.lastReportAtMs.get(host) ?? 0) >=
        this.getReportIntervalMs(),
    );
    const reports = due.flatMap(member => {
      this.lastReportAtMs.set(member.host, nowMs);
      const meter = this.meters.get(member.host);
      return meter === undefined
        ? []
        : [meter.readReport('menu', member, nowMs)];
    });
    if (reports.length > 0)
      this.profile = applyReports(this.profile, this.current, reports);
  }

  private getReportIntervalMs(): number {
    return Math.max(
      MIN_REPORT_INTERVAL_MS,
      this.members.length * REPORT_INTERVAL_PER_OWNER_MS,
    );
  }
}

function isMoving(slice: Slice): boolean {
  return slice.nextOwner !== undefined;
}

/** Hashes a pair of 32-bit integers to one. */
function hashPair(a: number, b: number): number {
  let hash = Math.imul(a ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  hash = Math.imul(hash ^ (hash >>> 16), 0x27d4eb2f);
  return (hash ^ (hash >>> 15)) >>> 0;
}
