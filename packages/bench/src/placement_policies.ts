/**
 * The placements that are compared: rendezvous hashing, slices by number, and slices by load. Each
 * tells which owner a key has, and follows the fleet and the load.
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

/** One way to place keys. */
export interface PlacementPolicy {
  readonly name: string;
  /** Returns the host that owns a position. */
  findHost(position: number): string | undefined;
  /** Follows a change of the members, and moves what it will. */
  applyMembers(members: readonly Member[], nowMs: number): void;
  /** Counts a request. */
  addRequest(position: number, nowMs: number): void;
  /** Moves owned keys until the next assignment would be the same. */
  plan(nowMs: number): void;
  /** Grows whenever a key may have got another owner. */
  getVersion(): number;
  /** Moves of slices between live owners so far. */
  getMoves(): number;
  getSliceCount(): number;
  /** Most milliseconds that one plan took. */
  getLongestPlanMs(): number;
}

/** Gives each key to the member with the highest hash for it. */
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

/** Slices, balanced by observed load or by their number. */
export class SlicePolicy implements PlacementPolicy {
  readonly name: string;
  private members: readonly Member[] = [];
  private present: Assignment | undefined;
  private profile: LoadProfile = EMPTY_PROFILE;
  private readonly meters = new Map<string, LoadMeter>();
  private readonly reportedAtMs = new Map<string, number>();
  private moves = 0;
  private longestPlanMs = 0;

  constructor(private readonly isByLoad: boolean) {
    this.name = isByLoad ? 'slices by load' : 'slices by number';
  }

  findHost(position: number): string | undefined {
    const slices = this.present?.slices ?? [];
    return slices[findSliceIndex(slices, position)]?.owner?.host;
  }

  applyMembers(members: readonly Member[], nowMs: number): void {
    this.members = members;
    members.forEach(({host}, index) => {
      if (this.meters.has(host)) return;
      this.meters.set(host, new LoadMeter(nowMs));
      // Reports of different owners come at different times.
      const intervalMs = this.getReportIntervalMs();
      this.reportedAtMs.set(
        host,
        nowMs + (index / members.length - 1) * intervalMs,
      );
    });
    this.plan(nowMs);
  }

  addRequest(position: number, nowMs: number): void {
    if (!this.isByLoad) return;
    const slices = this.present?.slices ?? [];
    const slice = slices[findSliceIndex(slices, position)];
    if (slice?.owner === undefined) return;
    this.meters.get(slice.owner.host)?.addRequest(slice.start, position, nowMs);
  }

  plan(nowMs: number): void {
    this.takeReports(nowMs);
    for (let plans = 0; plans < MAX_PLANS; plans++) {
      if (!this.planOnce(nowMs)) return;
    }
  }

  getVersion(): number {
    return this.present?.generation ?? 0;
  }

  getMoves(): number {
    return this.moves;
  }

  getSliceCount(): number {
    return this.present?.slices.length ?? 0;
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
      present: this.present,
      eligible: this.members,
      isEnded: member => !live.has(member.host),
      released: (this.present?.slices ?? []).filter(isMoving),
      slicesPerServer: SLICES_PER_SERVER,
      profile: this.profile,
    });
    this.longestPlanMs = Math.max(
      this.longestPlanMs,
      performance.now() - startMs,
    );
    if (next === undefined) return false;
    this.moves += next.slices.filter(isMoving).length;
    this.present = next;
    for (const member of this.members)
      this.meters.get(member.host)?.applyAssignment(next, member, nowMs);
    return true;
  }

  private takeReports(nowMs: number): void {
    if (!this.isByLoad || this.present === undefined) return;
    const due = this.members.filter(
      ({host}) =>
        nowMs - (this.reportedAtMs.get(host) ?? 0) >=
        this.getReportIntervalMs(),
    );
    const reports = due.flatMap(member => {
      this.reportedAtMs.set(member.host, nowMs);
      const meter = this.meters.get(member.host);
      return meter === undefined
        ? []
        : [meter.readReport('menu', member, nowMs)];
    });
    if (reports.length > 0)
      this.profile = applyReports(this.profile, this.present, reports);
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

/** Mixes two numbers of 32 bits into one. */
function hashPair(a: number, b: number): number {
  let hash = Math.imul(a ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  hash = Math.imul(hash ^ (hash >>> 16), 0x27d4eb2f);
  return (hash ^ (hash >>> 15)) >>> 0;
}
