/**
 * Implements the witness's side of leases as a pure state machine.
 *
 * A witness keeps its state in memory only. After a restart it is a new member that no session names yet, so
 * neither renewals nor votes that it has lost are counted under its new incarnation. But it knows that the process
 * which it has replaced renews no lease any more, and votes in its place once every lease that it may have renewed
 * has lapsed. Otherwise a member that is lost together with a majority of its witnesses could never be ended.
 */
import type {Incarnation, Instant, Member} from '@dottereldrift/core/types.js';

import {DRIFT_MARGIN_MS, LEASE_DURATION_MS} from './constants.js';

/** A witness's record of one member, that is one incarnation of one host. */
export interface WitnessRecord {
  readonly member: Member;
  /** Receive time of the last heartbeat; undefined if none was received. */
  readonly heardAt: Instant | undefined;
  readonly isFenced: boolean;
}

/** State of a witness: member records by host and incarnation. */
export type WitnessState = ReadonlyMap<string, WitnessRecord>;

/** Earlier processes on this host that listened on the address that this process has bound, so they have ended. */
export interface ReplacedProcesses {
  readonly incarnations: readonly Incarnation[];
  /** A time at which all of them had ended. */
  readonly endedAt: Instant;
}

/** A new state and the answer to send. */
export interface WitnessStep {
  readonly state: WitnessState;
  /** For a heartbeat, whether the lease is renewed; for a fence request, whether the vote is granted. */
  readonly isGranted: boolean;
}

/** Handles a heartbeat: renews the lease unless the member is fenced. */
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

/** Handles a fence request: grants the vote if the lease has lapsed, after which it is never renewed. */
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
 * Fences a member whose session has ended. The record is kept, because a holder that was paused and does not
 * know about its end may request a renewal at any later time.
 */
export function applyEnd(state: WitnessState, member: Member): WitnessState {
  const heardAt = state.get(getKey(member))?.heardAt;
  const next = {member, heardAt, isFenced: true};
  return new Map(state).set(getKey(member), next);
}

/** Returns whether a witness has been replaced for so long that every lease renewed by it has lapsed. */
export function hasLapsedWith(
  replaced: ReplacedProcesses | undefined,
  witness: Incarnation,
  now: Instant,
): boolean {
  return (
    replaced?.incarnations.includes(witness) === true &&
    isLapsed(replaced.endedAt, now)
  );
}

/** Returns whether a lease renewed at `heardAt` has lapsed by the witness's monotonic clock. */
export function isLapsed(heardAt: Instant, now: Instant): boolean {
  return (
    now.monotonicMs - heardAt.monotonicMs > LEASE_DURATION_MS + DRIFT_MARGIN_MS
  );
}

function getKey(member: Member): string {
  return `${member.host}#${member.incarnation}`;
}
