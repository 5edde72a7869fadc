/**
 * Admission control of an owner for the slices of one service: decides for which slices this member may
 * run requests, and tracks the slices that it has released for a move.
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

/** Decision on admitting requests at one position. */
export type AdmissionDecision =
  | {readonly kind: 'owned'; readonly slice: Slice}
  | {readonly kind: 'moving'; readonly slice: Slice}
  | {readonly kind: 'not-owned'; readonly generation: number};

/** Admits requests to the slices of one service that this member owns. */
export class SliceGate {
  private assignment: Assignment | undefined;
  /** Highest token under which each slice was released, by the start of the slice. */
  private readonly releasedTokens = new Map<number, number>();
  /** Number of running requests by position. */
  private readonly runningCounts = new Map<number, number>();
  /** Positions of the requests that wait for a slot, by their release callbacks. */
  private readonly waitingPositions = new Map<() => void, number>();

  constructor(private readonly member: Member) {}

  /** Adopts an assignment unless its generation is not higher than the known one. */
  applyAssignment(assignment: Assignment): void {
    const generation = this.assignment?.generation ?? 0;
    if (assignment.generation <= generation) return;
    this.assignment = assignment;
    this.dropSupersededReleases(assignment);
  }

  /** Returns the newest assignment known to this member. */
  getAssignment(): Assignment | undefined {
    return this.assignment;
  }

  /** Decides whether a request at a position may run here. */
  checkPosition(position: number): AdmissionDecision {
    const slice = findSlice(this.assignment?.slices ?? [], position);
    if (slice?.owner === undefined || !isSameMember(slice.owner, this.member)) {
      return {kind: 'not-owned', generation: this.assignment?.generation ?? 0};
    }
    return this.isReleased(slice)
      ? {kind: 'moving', slice}
      : {kind: 'owned', slice};
  }

  /** Counts an admitted request as running at a position until the returned function is called. */
  startRequest(position: number): () => void {
    this.runningCounts.set(
      position,
      (this.runningCounts.get(position) ?? 0) + 1,
    );
    let isEnded = false;
    return () => {
      if (isEnded) return;
      isEnded = true;
      const remaining = (this.runningCounts.get(position) ?? 1) - 1;
      if (remaining === 0) this.runningCounts.delete(position);
      else this.runningCounts.set(position, remaining);
    };
  }

  /**
   * Registers a request that waits for a slot. The callback is called if the slice is released first. The
   * returned function unregisters the request once it runs or stops waiting.
   */
  addWaitingRequest(position: number, onRelease: () => void): () => void {
    this.waitingPositions.set(onRelease, position);
    return () => {
      this.waitingPositions.delete(onRelease);
    };
  }

  /**
   * Permanently stops admission to slices under their tokens and returns their waiting requests to the
   * caller. Returns the released slices that have no running requests. A slice that this member does not
   * know under the same start and token is not released: it has been split or merged, and requests at its
   * positions are still admitted under another start.
   */
  releaseSlices(requested: readonly SliceRef[]): readonly SliceRef[] {
    const refs = requested.filter(ref => this.isKnown(ref));
    for (const ref of refs) {
      const released = this.releasedTokens.get(ref.start) ?? 0;
      this.releasedTokens.set(ref.start, Math.max(released, ref.token));
    }
    this.cancelWaiting(refs);
    return refs.filter(ref => !this.isBusy(ref));
  }

  /** Returns the slices that this member owns and has not released. */
  getHeldSlices(): readonly Slice[] {
    const slices = this.assignment?.slices ?? [];
    return getOwnedSlices(slices, this.member).filter(
      slice => !this.isReleased(slice),
    );
  }

  /** Returns the slices that this member owns and has released. */
  getReleasedSlices(): readonly Slice[] {
    const slices = this.assignment?.slices ?? [];
    return getOwnedSlices(slices, this.member).filter(slice =>
      this.isReleased(slice),
    );
  }

  /**
   * Filters out slices that this member knows with a different end. They have been split, and releasing the
   * whole slice for one part would make the rest unavailable until this member learns of the split.
   */
  filterUncut(requested: readonly SliceRef[]): readonly SliceRef[] {
    const slices = this.assignment?.slices ?? [];
    return requested.filter(({start, end}) => {
      if (end === undefined) return true;
      const index = findSliceIndex(slices, start);
      return getSliceEnd(slices, index) === end;
    });
  }

  private cancelWaiting(refs: readonly SliceRef[]): void {
    const starts = new Set(refs.map(ref => ref.start));
    for (const [onRelease, position] of [...this.waitingPositions]) {
      if (!starts.has(this.findStart(position))) continue;
      this.waitingPositions.delete(onRelease);
      onRelease();
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
    for (const position of this.runningCounts.keys()) {
      if (this.findStart(position) === ref.start) return true;
    }
    return false;
  }

  private dropSupersededReleases(assignment: Assignment): void {
    for (const [start, token] of this.releasedTokens) {
      const slice = findSlice(assignment.slices, start);
      if (slice !== undefined && slice.token > token) {
        this.releasedTokens.delete(start);
      }
    }
  }
}
