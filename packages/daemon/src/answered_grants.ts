/**
 * Grants that travel in the answers to a backend server's heartbeats. The server counts a grant from
 * when it sent the heartbeat, so a grant that ends, by the daemon's clock, within the daemon's lease
 * counted from the receipt of the heartbeat never outlasts that lease, however late the answer is.
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

import type {GrantBook, GrantSource} from './grant_book.js';

/** Keys that a server holds, or is to hold, under one token. */
export interface HeldKeys extends KeyRange {
  readonly token: Token;
}

/** Keys that a server has let go, with what the next owner's server needs to start warm. */
export interface FreedKeys extends KeyRange {
  readonly handover: string;
}

/** Keys in a grant. */
export interface GrantedKeys extends HeldKeys {
  /** Empty when the keys come without a handover. */
  readonly handover: string;
}

/** What a heartbeat says of the server's keys. */
export interface HoldReport {
  readonly held: readonly HeldKeys[];
  readonly freed: readonly FreedKeys[];
}

/** The answer to a heartbeat: everything that the server is to hold, and for how long. */
export interface HoldGrant {
  readonly keys: readonly GrantedKeys[];
  /** Milliseconds from when the server sent the heartbeat. */
  readonly holdMs: number;
}

/** Bounds of the grants. */
export interface HoldLimits {
  /** Longest time of one grant, in milliseconds. */
  readonly maxHoldMs: number;
  /** Most bytes that the rows of one answer take. */
  readonly maxGrantBytes: number;
}

/** Bytes of a row beside its numbers and its handover: brackets, commas and quotation marks. */
const ROW_FRAME_BYTES = 8;

/** Least pace of a server's clock: it may run 2 in 100 slow. */
const MIN_CLOCK_PACE = 0.98;
/** Time before the end of a grant from which nothing is sent by it, in milliseconds. */
const SEND_MARGIN_MS = 50;
const NEVER: Instant = {monotonicMs: -Infinity, wallMs: -Infinity};

type ReleaseState = 'asked' | 'left-out' | 'released';

interface Release {
  readonly ref: SliceRef;
  state: ReleaseState;
  handover: string;
}

/** Stops admission to slices; called when the server is about to be told to let them go. */
export type AdmissionStop = (refs: readonly SliceRef[]) => void;

/** The grants of one service, given in answers to heartbeats. */
export class AnsweredGrants implements GrantBook {
  private taken: readonly HeldKeys[] = [];
  private takenEnd = NEVER;
  /** Monotonic time at which every grant that was given has ended. */
  private latestEndMs: number;
  private readonly releases = new Map<string, Release>();
  private stopAdmission: AdmissionStop = () => {};
  private leftOutRows = 0;

  constructor(
    private readonly system: System,
    private readonly source: GrantSource,
    private readonly limits: HoldLimits,
    /** Monotonic time at which grants of an earlier run of this daemon have ended. */
    private readonly earlierEndMs: number,
  ) {
    this.latestEndMs = earlierEndMs;
  }

  isGranted(slice: Slice): boolean {
    const now = this.system.getNow();
    const isOver =
      now.monotonicMs >= this.takenEnd.monotonicMs ||
      now.wallMs >= this.takenEnd.wallMs;
    if (isOver) return false;
    const range = this.findRange(slice.start);
    return (
      range === undefined ||
      this.taken.some(
        keys => keys.token === slice.token && isCovering(keys, range),
      )
    );
  }

  getAcknowledgedEnd(): Instant {
    return this.takenEnd;
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
    this.taken = [];
    this.takenEnd = NEVER;
  }

  endProvedGone(): void {
    this.reset();
    this.latestEndMs = -Infinity;
  }

  send(): Promise<void> {
    return Promise.resolve();
  }

  tryConfirm(): Promise<boolean> {
    return Promise.resolve(this.hasLapsed());
  }

  /** Returns how many rows the last answer had no room for. */
  getLeftOutRows(): number {
    return this.leftOutRows;
  }

  /** Tells whether the server is to let keys go, or has not said yet that it did. */
  isReleasing(): boolean {
    return [...this.releases.values()].some(
      ({state, ref}) => state !== 'released' && this.isKnown(ref),
    );
  }

  /** Tells whether the answer to a heartbeat would change what the server holds, or has it say so soon. */
  hasNews({held}: HoldReport, voidToken: Token): boolean {
    if (this.isReleasing()) return true;
    const granted = this.listGranted(voidToken, held);
    const isNew = granted.some(keys => !isWithin(keys, held));
    return isNew || held.some(keys => !isWithin(keys, granted));
  }

  /**
   * Answers a heartbeat that was received some milliseconds ago; undefined when nothing may be granted
   * or taken away now.
   */
  answerReport(
    report: HoldReport,
    mayGrant: boolean,
    voidToken: Token,
    waitedMs = 0,
  ): HoldGrant | undefined {
    this.recordReleases(report);
    const holdMs = mayGrant ? this.computeHoldMs(waitedMs) : 0;
    if (holdMs <= 0) return undefined;
    this.stopAsked();
    const keys = this.listGranted(voidToken, report.held);
    const now = this.system.getNow();
    const servedMs = holdMs - waitedMs - SEND_MARGIN_MS;
    this.taken = keys;
    this.takenEnd = {
      monotonicMs: now.monotonicMs + servedMs,
      wallMs: now.wallMs + servedMs,
    };
    const endMs = now.monotonicMs - waitedMs + holdMs / MIN_CLOCK_PACE;
    this.latestEndMs = Math.max(this.latestEndMs, endMs);
    return {keys, holdMs};
  }

  /**
   * Asks for slices to be let go. Admission goes on until the server's next heartbeat, whose answer
   * leaves them out; a server that is silent loses them when its grants end. A slice that this daemon does
   * not know with the same start and token is not let go: it grants those keys as part of another slice.
   */
  askRelease(refs: readonly SliceRef[], stopAdmission: AdmissionStop): void {
    this.stopAdmission = stopAdmission;
    for (const ref of refs) {
      const name = formatRef(ref);
      if (this.releases.has(name) || !this.isKnown(ref)) continue;
      this.releases.set(name, {ref, state: 'asked', handover: ''});
    }
    this.dropForgotten();
    if (this.hasLapsed()) this.stopAsked();
  }

  /** Returns those of the slices that no server of this host can start a request of. */
  findReleased(refs: readonly SliceRef[]): readonly SliceRef[] {
    const isLapsed = this.hasLapsed();
    return refs.flatMap(ref => {
      const release = this.releases.get(formatRef(ref));
      const isStopped = this.isKnown(ref) && !this.isOffered(ref);
      if (release === undefined || !isStopped) return [];
      if (release.state !== 'released' && !isLapsed) return [];
      const {handover} = release;
      return [handover === '' ? ref : {...ref, handover}];
    });
  }

  private recordReleases({held, freed}: HoldReport): void {
    for (const release of this.releases.values()) {
      const {ref, state} = release;
      if (state !== 'left-out' || !this.isKnown(ref)) continue;
      // The slice may have been cut since the server was told; it never grows under its token.
      const range = this.findRange(ref.start);
      const row = range && freed.find(keys => isCovering(keys, range));
      if (row !== undefined) release.handover = row.handover;
      const isHeld =
        range !== undefined && held.some(keys => isOverlapping(keys, range));
      if (!isHeld) release.state = 'released';
    }
  }

  /**
   * Stops admission to what the server is about to be told to let go. While grants of the run before this
   * process may be in force it is not told: its heartbeats of before may arrive late, and this process does
   * not know which of them came last, so none is its word.
   */
  private stopAsked(): void {
    if (this.system.getNow().monotonicMs < this.earlierEndMs) return;
    const asked = [...this.releases.values()].filter(
      ({state, ref}) => state === 'asked' && this.isKnown(ref),
    );
    if (asked.length === 0) return;
    this.stopAdmission(asked.map(release => release.ref));
    for (const release of asked) release.state = 'left-out';
  }

  /** Drops releases of slices that this daemon does not know under their tokens any more. */
  private dropForgotten(): void {
    for (const [name, {ref}] of this.releases) {
      if (!this.isKnown(ref)) this.releases.delete(name);
    }
  }

  private isKnown(ref: SliceRef): boolean {
    const slices = this.source.getAssignment()?.slices ?? [];
    const slice = findSlice(slices, ref.start);
    return slice?.start === ref.start && slice.token === ref.token;
  }

  private isOffered(ref: SliceRef): boolean {
    return this.source
      .getSlices()
      .some(({start, token}) => start === ref.start && token === ref.token);
  }

  /**
   * Lists what the server is to hold, in as few rows as possible, for an answer has a bounded size. What a
   * server needs to start warm is said until it holds the keys.
   */
  private listGranted(
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

  /** Leaves rows out that an answer has no room for; their keys are served by no one meanwhile. */
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

  /** Returns the rest of the lease from when the heartbeat was received, by a slow clock. */
  private computeHoldMs(waitedMs: number): number {
    const now = this.system.getNow();
    const end = this.source.getLeaseEnd();
    const leaseMs = Math.min(
      end.monotonicMs - now.monotonicMs,
      end.wallMs - now.wallMs,
    );
    const holdMs = Math.floor((leaseMs + waitedMs) * MIN_CLOCK_PACE);
    return Math.min(holdMs, this.limits.maxHoldMs);
  }
}

/** Tells whether keys lie within rows of their token; rows may be cut otherwise than they were. */
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
  return ROW_FRAME_BYTES + numbers.length + handover.length;
}

/** Joins neighbouring rows of one token; those that bring a handover stay as they are. */
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
