/**
 * Grants that are sent in responses to a backend server's heartbeats. The server measures a grant
 * from the time at which it sent the heartbeat, and the daemon measures its lease from the time at
 * which it received it. A grant that fits into the lease therefore never outlasts it, however late
 * the response arrives.
 */
import type {System} from '@dottereldrift/core/system.js';
import type {Instant, Token} from '@dottereldrift/core/types.js';
import {
  findKeyRange,
  isCovering,
  isOverlapping,
  type KeyRange,
} from '@dottereldrift/ownership/key_range.js';
import {findSlice, findSliceIndex} from '@dottereldrift/ownership/slices.js';
import type {Slice, SliceRef} from '@dottereldrift/ownership/types.js';

import type {GrantTracker, GrantSource} from './grant_tracker.js';

/** Range of keys that a server holds, or is to hold, under one fencing token. */
export interface HeldKeys extends KeyRange {
  readonly token: Token;
}

/**
 * Range of keys that a server has released, with the data that the next owner's server needs for a
 * warm start.
 */
export interface FreedKeys extends KeyRange {
  readonly handover: string;
}

/** Range of keys in a grant. */
export interface GrantedKeys extends HeldKeys {
  /** Handover data of the previous owner's server; empty when there is none. */
  readonly handover: string;
}

/** State of the server's keys as reported in a heartbeat. */
export interface KeyReport {
  readonly held: readonly HeldKeys[];
  readonly freed: readonly FreedKeys[];
}

/** Response to a heartbeat: the complete set of keys that the server is to hold, and for how long. */
export interface KeyGrant {
  readonly keys: readonly GrantedKeys[];
  /** Duration in milliseconds, measured from when the server sent the heartbeat. */
  readonly holdMs: number;
}

/** Limits of the size and duration of grants. */
export interface GrantLimits {
  /** Maximum duration of one grant, in milliseconds. */
  readonly maxHoldMs: number;
  /** Maximum size in bytes of the rows in one response. */
  readonly maxGrantBytes: number;
}

/** Bytes of a row besides its numbers and handover data: brackets, commas and quotation marks. */
const ROW_OVERHEAD_BYTES = 8;

/** Slowest supported rate of a server's clock relative to the daemon's: 2% slow. */
const MIN_CLOCK_RATE = 0.98;
/**
 * Time before the end of a grant at which the daemon stops sending requests under it, in
 * milliseconds.
 */
const SEND_MARGIN_MS = 50;
const DISTANT_PAST: Instant = {monotonicMs: -Infinity, wallMs: -Infinity};

type ReleaseState = 'asked' | 'left-out' | 'released';

interface Release {
  readonly ref: SliceRef;
  state: ReleaseState;
  handover: string;
}

/** Stops admission to slices; called just before the server is told to release them. */
export type AdmissionStop = (refs: readonly SliceRef[]) => void;

/** Tracks the grants of one service that are sent in responses to heartbeats. */
export class HeartbeatGrants implements GrantTracker {
  private grantedKeys: readonly HeldKeys[] = [];
  private dispatchEnd = DISTANT_PAST;
  /** Monotonic time by which every grant issued so far has expired. */
  private latestEndMs: number;
  private readonly releases = new Map<string, Release>();
  private stopAdmission: AdmissionStop = () => {};
  private leftOutRows = 0;

  constructor(
    private readonly system: System,
    private readonly source: GrantSource,
    private readonly limits: GrantLimits,
    /** Monotonic time by which the grants of the previous daemon process have expired. */
    private readonly previousGrantsEndMs: number,
  ) {
    this.latestEndMs = previousGrantsEndMs;
  }

  isGranted(slice: Slice): boolean {
    const now = this.system.getNow();
    const isOver =
      now.monotonicMs >= this.dispatchEnd.monotonicMs ||
      now.wallMs >= this.dispatchEnd.wallMs;
    if (isOver) return false;
    const range = this.findRange(slice.start);
    return (
      range === undefined ||
      this.grantedKeys.some(
        keys => keys.token === slice.token && isCovering(keys, range),
      )
    );
  }

  getAcknowledgedEnd(): Instant {
    return this.dispatchEnd;
  }

  hasLapsed(): boolean {
    return this.system.getNow().monotonicMs >= this.latestEndMs;
  }

  getLatestEndMs(): number {
    return this.latestEndMs;
  }

  getUnansweredMs(): number {
    return 0;
  }

  reset(): void {
    this.grantedKeys = [];
    this.dispatchEnd = DISTANT_PAST;
  }

  dropGrants(): void {
    this.reset();
    this.latestEndMs = -Infinity;
  }

  send(): Promise<void> {
    return Promise.resolve();
  }

  tryConfirm(): Promise<boolean> {
    return Promise.resolve(this.hasLapsed());
  }

  /** Returns the number of rows omitted from the last response because it was full. */
  getLeftOutRows(): number {
    return this.leftOutRows;
  }

  /** Tells whether the server still has to release keys or to confirm that it has released them. */
  isReleasing(): boolean {
    return [...this.releases.values()].some(
      ({state, ref}) => state !== 'released' && this.isInAssignment(ref),
    );
  }

  /**
   * Tells whether the response to a heartbeat would change what the server holds, or ask it to
   * report soon because a release is pending.
   */
  hasChanges({held}: KeyReport, voidToken: Token): boolean {
    if (this.isReleasing()) return true;
    const granted = this.listGrantableKeys(voidToken, held);
    const isNew = granted.some(keys => !isWithin(keys, held));
    return isNew || held.some(keys => !isWithin(keys, granted));
  }

  /**
   * Answers a heartbeat that was received `waitedMs` milliseconds ago. Returns undefined when
   * nothing may be granted or revoked now.
   */
  answerHeartbeat(
    report: KeyReport,
    mayGrant: boolean,
    voidToken: Token,
    waitedMs = 0,
  ): KeyGrant | undefined {
    this.recordReleases(report);
    const holdMs = mayGrant ? this.computeHoldMs(waitedMs) : 0;
    if (holdMs <= 0) return undefined;
    this.stopRequestedReleases();
    const keys = this.listGrantableKeys(voidToken, report.held);
    const now = this.system.getNow();
    const dispatchMs = holdMs - waitedMs - SEND_MARGIN_MS;
    this.grantedKeys = keys;
    this.dispatchEnd = {
      monotonicMs: now.monotonicMs + dispatchMs,
      wallMs: now.wallMs + dispatchMs,
    };
    const endMs = now.monotonicMs - waitedMs + holdMs / MIN_CLOCK_RATE;
    this.latestEndMs = Math.max(this.latestEndMs, endMs);
    return {keys, holdMs};
  }

  /**
   * Requests the release of slices. Admission continues until the server's next heartbeat, whose
   * response omits them; a silent server loses them when its grants expire. A slice that this
   * daemon's assignment does not list with the same start and token is ignored, because its keys
   * are still granted as part of another slice.
   */
  requestRelease(
    refs: readonly SliceRef[],
    stopAdmission: AdmissionStop,
  ): void {
    this.stopAdmission = stopAdmission;
    for (const ref of refs) {
      const name = formatRef(ref);
      if (this.releases.has(name) || !this.isInAssignment(ref)) continue;
      this.releases.set(name, {ref, state: 'asked', handover: ''});
    }
    this.dropStaleReleases();
    if (this.hasLapsed()) this.stopRequestedReleases();
  }

  /** Lists the slices in the assignment whose release was requested. */
  listRequestedReleases(): readonly SliceRef[] {
    return [...this.releases.values()]
      .map(({ref}) => ref)
      .filter(ref => this.isInAssignment(ref));
  }

  /** Returns the requested slices for which no server on this host can start a request any more. */
  findReleased(refs: readonly SliceRef[]): readonly SliceRef[] {
    const isLapsed = this.hasLapsed();
    return refs.flatMap(ref => {
      const release = this.releases.get(formatRef(ref));
      const isStopped = this.isInAssignment(ref) && !this.isGrantable(ref);
      if (release === undefined || !isStopped) return [];
      if (release.state !== 'released' && !isLapsed) return [];
      const {handover} = release;
      return [handover === '' ? ref : {...ref, handover}];
    });
  }

  private recordReleases({held, freed}: KeyReport): void {
    for (const release of this.releases.values()) {
      const {ref, state} = release;
      if (state !== 'left-out' || !this.isInAssignment(ref)) continue;
      // The slice may have been split since the server was told; under one token it never grows.
      const range = this.findRange(ref.start);
      const row = range && freed.find(keys => isCovering(keys, range));
      if (row !== undefined) release.handover = row.handover;
      const isHeld =
        range !== undefined && held.some(keys => isOverlapping(keys, range));
      if (!isHeld) release.state = 'released';
    }
  }

  /**
   * Stops admission to the slices that the server is about to be told to release. Does nothing
   * while grants of the previous daemon process may be in force: heartbeats sent before the restart
   * may arrive late, and this process cannot tell which of them is the newest, so none of them
   * proves a release.
   */
  private stopRequestedReleases(): void {
    if (this.system.getNow().monotonicMs < this.previousGrantsEndMs) return;
    const asked = [...this.releases.values()].filter(
      ({state, ref}) => state === 'asked' && this.isInAssignment(ref),
    );
    if (asked.length === 0) return;
    this.stopAdmission(asked.map(release => release.ref));
    for (const release of asked) release.state = 'left-out';
  }

  /** Drops releases of slices that the assignment no longer lists with the same start and token. */
  private dropStaleReleases(): void {
    for (const [name, {ref}] of this.releases) {
      if (!this.isInAssignment(ref)) this.releases.delete(name);
    }
  }

  private isInAssignment(ref: SliceRef): boolean {
    const slices = this.source.getAssignment()?.slices ?? [];
    const slice = findSlice(slices, ref.start);
    return slice?.start === ref.start && slice.token === ref.token;
  }

  private isGrantable(ref: SliceRef): boolean {
    return this.source
      .getSlices()
      .some(({start, token}) => start === ref.start && token === ref.token);
  }

  /**
   * Lists the keys that the server is to hold in as few rows as possible, because the size of a
   * response is limited. Handover data is repeated until the server reports that it holds the keys.
   */
  private listGrantableKeys(
    voidToken: Token,
    held: readonly HeldKeys[],
  ): readonly GrantedKeys[] {
    const granted = this.source.getSlices().flatMap(slice => {
      const range = this.findRange(slice.start);
      if (range === undefined || slice.token <= voidToken) return [];
      const {token} = slice;
      const isHeld = held.some(
        keys => keys.token === token && isCovering(keys, range),
      );
      const handover = isHeld ? '' : (slice.handover ?? '');
      return [{...range, token, handover}];
    });
    return this.takeFittingRows(joinRows(granted));
  }

  /** Omits rows that exceed the size limit of a response; their keys are not served meanwhile. */
  private takeFittingRows(
    rows: readonly GrantedKeys[],
  ): readonly GrantedKeys[] {
    let bytes = 0;
    const bounded = rows.filter(row => {
      bytes += countRowBytes(row);
      return bytes <= this.limits.maxGrantBytes;
    });
    this.leftOutRows = rows.length - bounded.length;
    return bounded;
  }

  private findRange(start: number): KeyRange | undefined {
    const slices = this.source.getAssignment()?.slices ?? [];
    return findKeyRange(slices, findSliceIndex(slices, start));
  }

  /**
   * Returns the remaining lease time from the receipt of the heartbeat, reduced for a server with a
   * slow clock.
   */
  private computeHoldMs(waitedMs: number): number {
    const now = this.system.getNow();
    const end = this.source.getLeaseEnd();
    const leaseMs = Math.min(
      end.monotonicMs - now.monotonicMs,
      end.wallMs - now.wallMs,
    );
    const holdMs = Math.floor((leaseMs + waitedMs) * MIN_CLOCK_RATE);
    return Math.min(holdMs, this.limits.maxHoldMs);
  }
}

/**
 * Tells whether the keys are covered by rows with the same token, even if the rows are split at
 * other positions.
 */
export function isWithin(keys: HeldKeys, rows: readonly HeldKeys[]): boolean {
  let next = keys.first;
  const same = rows.filter(({token}) => token === keys.token);
  for (const row of [...same].sort((a, b) => a.first - b.first)) {
    if (row.first > next) break;
    next = Math.max(next, row.last + 1);
  }
  return next > keys.last;
}

function countRowBytes({first, last, token, handover}: GrantedKeys): number {
  const numbers = `${first}${last}${token}`;
  return ROW_OVERHEAD_BYTES + numbers.length + handover.length;
}

/** Merges adjacent rows with the same token; rows with handover data are kept separate. */
function joinRows(rows: readonly GrantedKeys[]): readonly GrantedKeys[] {
  const joined: GrantedKeys[] = [];
  for (const row of [...rows].sort((a, b) => a.first - b.first)) {
    const last = joined.at(-1);
    const isNext =
      last !== undefined &&
      last.last + 1 === row.first &&
      last.token === row.token &&
      last.handover === '' &&
      row.handover === '';
    if (isNext) joined[joined.length - 1] = {...last, last: row.last};
    else joined.push(row);
  }
  return joined;
}

function formatRef({start, token}: SliceRef): string {
  return `${start} ${token}`;
}
