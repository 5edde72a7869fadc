/**
 * Tells when a member may change its witness set merely to widen or to spread it. While a fleet starts, each new
 * member would make such a change worthwhile, and each change is a write to the store by every member. So these
 * changes wait until the fleet has stayed the same for a while. Replacing a lost witness never waits, nor does the
 * change of a set that is too small to tolerate a loss.
 */
import {formatMember, isSameMember} from '@dottereldrift/core/member.js';
import type {Member} from '@dottereldrift/core/types.js';

import {SMALL_WITNESS_SET_SIZE} from './constants.js';
import type {Session} from './types.js';

/** Time for which the fleet must stay the same, in milliseconds. */
const SETTLE_MS = 1_000;
/** Maximum time by which a change is deferred in a fleet that never settles, in milliseconds. */
const MAX_DEFERRAL_MS = 4_000;

/** Observes the members of the fleet. */
export class FleetSettling {
  private sessions: readonly Session[] | undefined;
  private members = '';
  private changedAtMs = -Infinity;
  private deferredSinceMs: number | undefined;

  /** Records the sessions of the live members. The same array stands for the same sessions. */
  observe(live: readonly Session[], nowMs: number): void {
    if (live === this.sessions) return;
    this.sessions = live;
    const members = live
      .map(session => formatMember(session.member))
      .sort()
      .join(' ');
    if (members === this.members) return;
    this.members = members;
    this.changedAtMs = nowMs;
  }

  /**
   * Tells whether a member may replace its present witnesses by others that it wants.
   *
   * @param candidates Sessions of the members that can be witnesses.
   */
  mayChange(
    present: readonly Member[],
    candidates: readonly Session[],
    nowMs: number,
  ): boolean {
    const isLost = (witness: Member) =>
      !candidates.some(({member}) => isSameMember(member, witness));
    if (present.length < SMALL_WITNESS_SET_SIZE || present.some(isLost))
      return true;
    const isSettled = nowMs - this.changedAtMs >= SETTLE_MS;
    this.deferredSinceMs ??= nowMs;
    const isOverdue = nowMs - this.deferredSinceMs >= MAX_DEFERRAL_MS;
    if (!isSettled && !isOverdue) return false;
    this.deferredSinceMs = undefined;
    return true;
  }
}
