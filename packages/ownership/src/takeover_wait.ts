/**
 * The time that a new owner lets pass after a takeover where backend servers do not check fencing
 * tokens: until the longest request that the lost owner's server may still run has ended.
 *
 * A takeover is known by its token: the records of the slice begin with it. The wait is kept by that
 * token, so that it also holds for a slice that is cut, or given a newer token, meanwhile.
 */
import type {Member, Token} from '@dottereldrift/core/types.js';

import {getOwnedSlices} from './slices.js';
import type {Assignment, Slice} from './types.js';

/** Waits of the slices of one service that a member took over. */
export class TakeoverWait {
  private readonly startedAtMs = new Map<Token, number>();

  /** Starts the waits of the slices that an assignment newly gives to a member. */
  applyAssignment(assignment: Assignment, member: Member, nowMs: number): void {
    const owned = getOwnedSlices(assignment.slices, member);
    for (const {token, recordsSince} of owned) {
      const isTaken = token === recordsSince;
      if (isTaken && !this.startedAtMs.has(token))
        this.startedAtMs.set(token, nowMs);
    }
    this.dropUnowned(owned);
  }

  /** Tells whether a slice may be served, if requests run for at most `maxRunMs`. */
  isOver(slice: Slice, maxRunMs: number, nowMs: number): boolean {
    const startedAtMs = this.startedAtMs.get(slice.recordsSince);
    return startedAtMs === undefined || nowMs - startedAtMs >= maxRunMs;
  }

  private dropUnowned(owned: readonly Slice[]): void {
    const present = new Set(owned.map(slice => slice.recordsSince));
    for (const token of this.startedAtMs.keys()) {
      if (!present.has(token)) this.startedAtMs.delete(token);
    }
  }
}
