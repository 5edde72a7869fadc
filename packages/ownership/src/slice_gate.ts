/**
 * The owner's admission to the slices of one service: which of them this member may run requests of,
 * and which it has released for a move.
 */
import {isSameMember} from '@dottereldrift/core/member.js';
import type {Member} from '@dottereldrift/core/types.js';

import {
  findSlice,
  findSliceIndex,
  getOwnedSlices,
  getSliceEnd,
} from './slices.js';
import type {Assignment, Slice, SliceRef} from './types.js';

/** Answer of the gate for one position. */
export type GateAnswer =
  | {readonly kind: 'owned'; readonly slice: Slice}
  | {readonly kind: 'moving'; readonly slice: Slice}
  | {readonly kind: 'not-owned'; readonly generation: number};

/** Tracks what this member may run of one service. */
export class SliceGate {
  private assignment: Assignment | undefined;
  /** For a slice's start, the highest token under which it was released. */
  private readonly releasedTokens = new Map<number, number>();
  /** Requests running, by the position of their slice's start when they were admitted. */
  private readonly running = new Map<number, number>();
  /** Requests that wait for a slot: what hands them back, with their positions. */
  private readonly waiting = new Map<() => void, number>();

  constructor(private readonly member: Member) {}

  /** Takes over an assignment unless a higher generation is known. */
  applyAssignment(assignment: Assignment): void {
    const present = this.assignment?.generation ?? 0;
    if (assignment.generation <= present) return;
    this.assignment = assignment;
    this.dropOldReleases(assignment);
  }

  /** Returns the assignment in force here. */
  getAssignment(): Assignment | undefined {
    return this.assignment;
  }

  /** Tells whether a request at a position may be run here. */
  checkPosition(position: number): GateAnswer {
    const slice = findSlice(this.assignment?.slices ?? [], position);
    if (slice?.owner === undefined || !isSameMember(slice.owner, this.member)) {
      return {kind: 'not-owned', generation: this.assignment?.generation ?? 0};
    }
    return this.isReleased(slice)
      ? {kind: 'moving', slice}
      : {kind: 'owned', slice};
  }

  /** Counts a request that was admitted to a position; the returned function ends it. */
  startRequest(position: number): () => void {
    this.running.set(position, (this.running.get(position) ?? 0) + 1);
    let isOver = false;
    return () => {
      if (isOver) return;
      isOver = true;
      const left = (this.running.get(position) ?? 1) - 1;
      if (left === 0) this.running.delete(position);
      else this.running.set(position, left);
    };
  }

  /**
   * Keeps what hands a request back that waits for a slot. The returned function forgets it, when
   * the request runs or no longer waits.
   */
  addWaiting(position: number, handBack: () => void): () => void {
    this.waiting.set(handBack, position);
    return () => {
      this.waiting.delete(handBack);
    };
  }

  /**
   * Stops admission to slices for good under their tokens, and hands back what waits for them.
   * Returns those on which nothing runs. A slice that this member does not know with the same start
   * and token is not released: it was cut or merged since, and requests to its positions are still
   * admitted under another start.
   */
  releaseSlices(asked: readonly SliceRef[]): readonly SliceRef[] {
    const refs = asked.filter(ref => this.isKnown(ref));
    for (const ref of refs) {
      const released = this.releasedTokens.get(ref.start) ?? 0;
      this.releasedTokens.set(ref.start, Math.max(released, ref.token));
    }
    this.withdrawWaiting(refs);
    return refs.filter(ref => !this.isBusy(ref));
  }

  /** Returns the slices that this member owns and has not released. */
  getHeldSlices(): readonly Slice[] {
    const slices = this.assignment?.slices ?? [];
    return getOwnedSlices(slices, this.member).filter(
      slice => !this.isReleased(slice),
    );
  }

  /**
   * Leaves out slices that are known here with another end: they were cut, and letting the whole go for a part
   * would leave the rest without service until the cut is known here.
   */
  filterUncut(asked: readonly SliceRef[]): readonly SliceRef[] {
    const slices = this.assignment?.slices ?? [];
    return asked.filter(({start, end}) => {
      if (end === undefined) return true;
      const index = findSliceIndex(slices, start);
      return getSliceEnd(slices, index) === end;
    });
  }

  private withdrawWaiting(refs: readonly SliceRef[]): void {
    const starts = new Set(refs.map(ref => ref.start));
    for (const [handBack, position] of [...this.waiting]) {
      if (!starts.has(this.findStart(position))) continue;
      this.waiting.delete(handBack);
      handBack();
    }
  }

  private findStart(position: number): number {
    return findSlice(this.assignment?.slices ?? [], position)?.start ?? -1;
  }

  private isKnown(ref: SliceRef): boolean {
    const slice = findSlice(this.assignment?.slices ?? [], ref.start);
    return slice?.start === ref.start && slice.token === ref.token;
  }

  private isReleased(slice: Slice): boolean {
    return (this.releasedTokens.get(slice.start) ?? 0) >= slice.token;
  }

  private isBusy(ref: SliceRef): boolean {
    for (const position of this.running.keys()) {
      if (this.findStart(position) === ref.start) return true;
    }
    return false;
  }

  private dropOldReleases(assignment: Assignment): void {
    for (const [start, token] of this.releasedTokens) {
      const slice = findSlice(assignment.slices, start);
      if (slice !== undefined && slice.token > token) {
        this.releasedTokens.delete(start);
      }
    }
  }
}
