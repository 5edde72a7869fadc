/**
 * The witness's side of leases, as a pure state machine.
 *
 * A witness keeps its promises in memory only. After a restart it is another member, which no
 * session names yet, so a promise that it has forgotten counts for nobody.
 */
import type {Instant, Member} from '@dottereldrift/core/types.js';

import {DRIFT_MARGIN_MS, LEASE_DURATION_MS} from './constants.js';

/** What a witness knows of one incarnation of one host. */
export interface WitnessRecord {
  readonly member: Member;
  /** When the last heartbeat was received; undefined when none was. */
  readonly heardAt: Instant | undefined;
  readonly isFenced: boolean;
}

/** State of a witness: the records by host and incarnation. */
export type WitnessState = ReadonlyMap<string, WitnessRecord>;

/** A new state with the answer to give. */
export interface WitnessStep {
  readonly state: WitnessState;
  /** For a heartbeat: the lease is renewed. For a fence request: the vote is granted. */
  readonly isGranted: boolean;
}

/** Answers a heartbeat: renews the lease unless the incarnation is fenced. */
export function applyHeartbeat(
  state: WitnessState,
  member: Member,
  now: Instant,
): WitnessStep {
  const record = state.get(getKey(member));
  if (record?.isFenced === true) return {state, isGranted: false};
  const next = {member, heardAt: now, isFenced: false};
  return {state: new Map(state).set(getKey(member), next), isGranted: true};
}

/** Answers a fence request: grants the vote once the lease has lapsed, and never renews it again. */
export function applyFence(
  state: WitnessState,
  member: Member,
  now: Instant,
): WitnessStep {
  const record = state.get(getKey(member));
  if (record?.isFenced === true) return {state, isGranted: true};
  if (record?.heardAt !== undefined && !isLapsed(record.heardAt, now)) {
    return {state, isGranted: false};
  }
  const next = {member, heardAt: record?.heardAt, isFenced: true};
  return {state: new Map(state).set(getKey(member), next), isGranted: true};
}

/**
 * Refuses an incarnation that has ended. Its record is kept: a holder that was paused and does not
 * know of its end may ask for a renewal at any later time.
 */
export function applyEnd(state: WitnessState, member: Member): WitnessState {
  const heardAt = state.get(getKey(member))?.heardAt;
  const next = {member, heardAt, isFenced: true};
  return new Map(state).set(getKey(member), next);
}

/** Tells whether a lease renewed at an instant has lapsed by now, by the witness's monotonic clock. */
export function isLapsed(heardAt: Instant, now: Instant): boolean {
  return (
    now.monotonicMs - heardAt.monotonicMs > LEASE_DURATION_MS + DRIFT_MARGIN_MS
  );
}

function getKey(member: Member): string {
  return `${member.host}#${member.incarnation}`;
}
