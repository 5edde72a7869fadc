/**
 * Implements the holder's side of a lease as a pure state machine.
 *
 * The lease is held while a majority of every active witness set has answered heartbeats sent within the
 * lease duration minus the drift margin, by both the monotonic and the wall clock. Two sets are active from
 * before a change of the witness set is written until its outcome is known.
 *
 * The monotonic clock stops while the host is suspended, and the wall clock may be set back in the meantime,
 * so each of them can miss the end of the lease. If the clocks disagree on the time elapsed since a heartbeat
 * was sent, that time is unknown and the answer to the heartbeat no longer counts.
 */
import {formatMember, isSameMember} from '@dottereldrift/core/member.js';
import type {Instant, Member} from '@dottereldrift/core/types.js';

import {
  CLOCK_DIFFERENCE_LIMIT_MS,
  DRIFT_MARGIN_MS,
  LEASE_DURATION_MS,
} from './constants.js';

/** State of a lease as its holder sees it. */
export interface LeaseState {
  readonly member: Member;
  /** Active witness sets: one, or two while the outcome of a change is unknown. */
  readonly witnessSets: ReadonlyArray<readonly Member[]>;
  /** Send time of the latest answered heartbeat, by witness. */
  readonly acknowledgedSentAt: ReadonlyMap<string, Instant>;
  /** Witnesses that have fenced this member. */
  readonly fencedBy: ReadonlySet<string>;
}

/** Creates the lease state of a member whose session names the witnesses. */
export function createLeaseState(
  member: Member,
  witnesses: readonly Member[],
): LeaseState {
  return {
    member,
    witnessSets: [witnesses],
    acknowledgedSentAt: new Map(),
    fencedBy: new Set(),
  };
}

/** Applies a witness's answer to the heartbeat sent at `sentAt`. */
export function applyAnswer(
  state: LeaseState,
  witness: Member,
  sentAt: Instant,
  isFenced: boolean,
): LeaseState {
  const name = formatMember(witness);
  if (isFenced) return {...state, fencedBy: new Set([...state.fencedBy, name])};
  if (state.fencedBy.has(name)) return state;
  const previous = state.acknowledgedSentAt.get(name);
  if (previous !== undefined && previous.monotonicMs >= sentAt.monotonicMs)
    return state;
  return {
    ...state,
    acknowledgedSentAt: new Map(state.acknowledgedSentAt).set(name, sentAt),
  };
}

/**
 * Returns the send time of an answered heartbeat since which the elapsed time is unknown because the clocks
 * disagree, or undefined if there is none.
 */
export function findUnreliableAnswer(
  state: LeaseState,
  now: Instant,
): Instant | undefined {
  for (const sentAt of state.acknowledgedSentAt.values())
    if (!isElapsedTimeKnown(sentAt, now)) return sentAt;
  return undefined;
}

/**
 * Drops the answers to heartbeats since which the elapsed time is unknown. Later clock faults may cancel out
 * the difference, and the answers must not count again then, so the returned state must replace the old one.
 */
export function dropUnreliableAnswers(
  state: LeaseState,
  now: Instant,
): LeaseState {
  const reliable = [...state.acknowledgedSentAt].filter(([, sentAt]) =>
    isElapsedTimeKnown(sentAt, now),
  );
  return {...state, acknowledgedSentAt: new Map(reliable)};
}

/** Returns whether both clocks agree on the time elapsed between two instants. */
export function isElapsedTimeKnown(from: Instant, to: Instant): boolean {
  const monotonicMs = to.monotonicMs - from.monotonicMs;
  const wallMs = to.wallMs - from.wallMs;
  return Math.abs(wallMs - monotonicMs) <= CLOCK_DIFFERENCE_LIMIT_MS;
}

/** Sets the active witness sets; the lease requires a majority of each. */
export function setWitnessSets(
  state: LeaseState,
  witnessSets: ReadonlyArray<readonly Member[]>,
): LeaseState {
  return {...state, witnessSets};
}

/** Returns the distinct witnesses of all active sets. */
export function getWitnesses(state: LeaseState): readonly Member[] {
  const byName = new Map<string, Member>();
  for (const set of state.witnessSets) {
    for (const witness of set) byName.set(formatMember(witness), witness);
  }
  return [...byName.values()];
}

/** Returns when the lease ends, by each clock, unless it is renewed. */
export function getLeaseEnd(state: LeaseState): Instant {
  const cachedEnd = cachedLeaseEnds.get(state);
  if (cachedEnd !== undefined) return cachedEnd;
  const end = computeLeaseEnd(state);
  cachedLeaseEnds.set(state, end);
  return end;
}

/** Caches the lease end per state; states are immutable. */
const cachedLeaseEnds = new WeakMap<LeaseState, Instant>();

function computeLeaseEnd(state: LeaseState): Instant {
  const ends = state.witnessSets.map(set => getSetEnd(state, set));
  return {
    monotonicMs: Math.min(...ends.map(end => end.monotonicMs)),
    wallMs: Math.min(...ends.map(end => end.wallMs)),
  };
}

/** Returns whether the lease is held at an instant. */
export function isLeaseHeld(state: LeaseState, now: Instant): boolean {
  const end = getLeaseEnd(state);
  return now.monotonicMs < end.monotonicMs && now.wallMs < end.wallMs;
}

/** Returns whether a witness has fenced this member and will never renew its lease again. */
export function hasFenced(state: LeaseState, witness: Member): boolean {
  return state.fencedBy.has(formatMember(witness));
}

/** Returns whether too many witnesses have fenced the member for it ever to hold its lease again. */
export function isPermanentlyFenced(state: LeaseState): boolean {
  return state.witnessSets.some(set => {
    const fenced = set.filter(witness =>
      state.fencedBy.has(formatMember(witness)),
    ).length;
    return set.length - fenced < getMajority(set.length);
  });
}

/** Returns the smallest majority of a set of a given size. */
export function getMajority(setSize: number): number {
  return Math.floor(setSize / 2) + 1;
}

/** Returns whether a member belongs to a witness set. */
export function isWitnessOf(set: readonly Member[], member: Member): boolean {
  return set.some(witness => isSameMember(witness, member));
}

const LEASE_USABLE_MS = LEASE_DURATION_MS - DRIFT_MARGIN_MS;

function getSetEnd(state: LeaseState, set: readonly Member[]): Instant {
  const answers = set.map(witness => getAcknowledgedSentAt(state, witness));
  return {
    monotonicMs:
      findMajorityValue(answers.map(at => at.monotonicMs)) + LEASE_USABLE_MS,
    wallMs: findMajorityValue(answers.map(at => at.wallMs)) + LEASE_USABLE_MS,
  };
}

function getAcknowledgedSentAt(state: LeaseState, witness: Member): Instant {
  const name = formatMember(witness);
  const sentAt = state.fencedBy.has(name)
    ? undefined
    : state.acknowledgedSentAt.get(name);
  return sentAt ?? {monotonicMs: -Infinity, wallMs: -Infinity};
}

/** Returns the largest value that a majority of the values reaches or exceeds. */
function findMajorityValue(values: readonly number[]): number {
  const descending = [...values].sort((a, b) => b - a);
  return descending[getMajority(values.length) - 1] ?? -Infinity;
}
