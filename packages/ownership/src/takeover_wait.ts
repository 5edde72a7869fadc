/**
 * Delays service after a takeover where backend servers do not check fencing tokens: the new owner waits
 * until the longest request that the lost owner's server may still be running has ended.
 *
 * A takeover is identified by its token, at which the slice's idempotency records begin. Waits are keyed
 * by that token, so they also cover slices that are split or get a newer token in the meantime.
 */
import type {Member, Token} from '@dottereldrift/core/types.js';

import {getOwnedSlices} from './slices.js';
import type {Assignment, Slice} from './types.js';

/** Tracks the waits for slices of one service that a member took over. */
export class TakeoverWait {
  private readonly startedAtMs = new Map<Token, number>();

  /** Starts a wait for each slice that an assignment gives to the member by takeover. */
  applyAssignment(assignment: Assignment, member: Member, nowMs: number): void {
    const owned = getOwnedSlices(assignment.slices, member);
    for (const {token, recordsSince} of owned) {
      const isTakeover = token === recordsSince;
      if (isTakeover && !this.startedAtMs.has(token))
        this.startedAtMs.set(token, nowMs);
    }
    this.dropWaitsOfUnowned(owned);
  }

  /** Returns whether a slice may be served, given that requests run for at most `maxRunMs`. */
  isElapsed(slice: Slice, maxRunMs: number, nowMs: number): boolean {
    const startedAtMs = this.startedAtMs.get(slice.recordsSince);
    return startedAtMs === undefined || nowMs - startedAtMs >= maxRunMs;
  }

  private dropWaitsOfUnowned(owned: readonly Slice[]): void {
    const ownedTokens = new Set(owned.map(slice => slice.recordsSince));
    for (const token of this.startedAtMs.keys()) {
      if (!ownedTokens.has(token)) this.startedAtMs.delete(token);
    }
  }
}
