/**
 * The holder's side of a lease, as a pure state machine.
 *
 * The lease is held while a majority of every active witness set has answered heartbeats that were
 * sent within the lease duration less the drift margin, by the monotonic and by the wall clock. Two
 * sets are active from before a change of the set is written until its outcome is known.
 *
 * The monotonic clock stands still while the host is suspended, and the wall clock may be set back
 * meanwhile, so each can miss the end. Where they have counted different times since a heartbeat was
 * sent, the time that has passed is not known, and the answer to it does not count any more.
 */
import {formatMember, isSameMember} from '@dottereldrift/core/member.js';
import type {Instant, Member} from '@dottereldrift/core/types.js';

import {
  CLOCK_DIFFERENCE_LIMIT_MS,
  DRIFT_MARGIN_MS,
  LEASE_DURATION_MS,
} from './constants.js';

/** State of a lease at its holder. */
export interface LeaseState {
  readonly member: Member;
  /** One set, or two while the outcome of a change is unknown. */
  readonly witnessSets: ReadonlyArray<readonly Member[]>;
  /** For each witness, when the latest heartbeat that it answered was sent. */
  readonly answeredAt: ReadonlyMap<string, Instant>;
  /** Witnesses that have fenced this member. */
  readonly fencedBy: ReadonlySet<string>;
}

/** Creates the state of a member whose session names the witnesses. */
export function createLeaseState(
  member: Member,
  witnesses: readonly Member[],
): LeaseState {
  return {
    member,
    witnessSets: [witnesses],
    answeredAt: new Map(),
    fencedBy: new Set(),
  };
}

/** Applies an answer to a heartbeat that was sent at an instant. */
export function applyAnswer(
  state: LeaseState,
  witness: Member,
  sentAt: Instant,
  isFenced: boolean,
): LeaseState {
  const name = formatMember(witness);
  if (isFenced) return {...state, fencedBy: new Set([...state.fencedBy, name])};
  if (state.fencedBy.has(name)) return state;
  const previous = state.answeredAt.get(name);
  if (previous !== undefined && previous.monotonicMs >= sentAt.monotonicMs)
    return state;
  return {...state, answeredAt: new Map(state.answeredAt).set(name, sentAt)};
}

/**
 * Returns when a heartbeat was sent whose answer counts although the time since is not known; undefined when
 * there is none.
 */
export function findDoubtfulAnswer(
  state: LeaseState,
  now: Instant,
): Instant | undefined {
  for (const sentAt of state.answeredAt.values())
    if (!isTimeKnown(sentAt, now)) return sentAt;
  return undefined;
}

/**
 * Drops the answers to heartbeats since which the time is not known. They do not count again when later
 * faults of the clocks even out, so the state that is returned replaces the one that was looked at.
 */
export function dropDoubtfulAnswers(
  state: LeaseState,
  now: Instant,
): LeaseState {
  const known = [...state.answeredAt].filter(([, sentAt]) =>
    isTimeKnown(sentAt, now),
  );
  return {...state, answeredAt: new Map(known)};
}

/** Tells whether both clocks have counted the same time between two instants. */
export function isTimeKnown(from: Instant, to: Instant): boolean {
  const monotonicMs = to.monotonicMs - from.monotonicMs;
  const wallMs = to.wallMs - from.wallMs;
  return Math.abs(wallMs - monotonicMs) <= CLOCK_DIFFERENCE_LIMIT_MS;
}

/** Makes the witness sets that may be in force count, a majority of each. */
export function setWitnessSets(
  state: LeaseState,
  witnessSets: ReadonlyArray<readonly Member[]>,
): LeaseState {
  return {...state, witnessSets};
}

/** Returns every witness of every active set, once each. */
export function getWitnesses(state: LeaseState): readonly Member[] {
  const byName = new Map<string, Member>();
  for (const set of state.witnessSets) {
    for (const witness of set) byName.set(formatMember(witness), witness);
  }
  return [...byName.values()];
}

/** Returns the instant at which the lease ends unless it is renewed, by both clocks. */
export function getLeaseEnd(state: LeaseState): Instant {
  const known = knownEnds.get(state);
  if (known !== undefined) return known;
  const end = computeLeaseEnd(state);
  knownEnds.set(state, end);
  return end;
}

/** States never change, so the end of each is computed once. */
const knownEnds = new WeakMap<LeaseState, Instant>();

function computeLeaseEnd(state: LeaseState): Instant {
  const ends = state.witnessSets.map(set => getSetEnd(state, set));
  return {
    monotonicMs: Math.min(...ends.map(end => end.monotonicMs)),
    wallMs: Math.min(...ends.map(end => end.wallMs)),
  };
}

/** Tells whether the lease is held at an instant. */
export function isLeaseHeld(state: LeaseState, now: Instant): boolean {
  const end = getLeaseEnd(state);
  return now.monotonicMs < end.monotonicMs && now.wallMs < end.wallMs;
}

/** Tells whether a witness has fenced this member, so that it never renews its lease again. */
export function hasFenced(state: LeaseState, witness: Member): boolean {
  return state.fencedBy.has(formatMember(witness));
}

/** Tells whether so many witnesses have fenced the member that it can never hold its lease again. */
export function isFencedForGood(state: LeaseState): boolean {
  return state.witnessSets.some(set => {
    const fenced = set.filter(witness =>
      state.fencedBy.has(formatMember(witness)),
    ).length;
    return set.length - fenced < getMajority(set.length);
  });
}

/** Returns the smallest number of witnesses that is more than half of a set. */
export function getMajority(setSize: number): number {
  return Math.floor(setSize / 2) + 1;
}

/** Tells whether a member is among the witnesses of a set. */
export function isWitnessOf(set: readonly Member[], member: Member): boolean {
  return set.some(witness => isSameMember(witness, member));
}

const LEASE_USABLE_MS = LEASE_DURATION_MS - DRIFT_MARGIN_MS;

function getSetEnd(state: LeaseState, set: readonly Member[]): Instant {
  const answers = set.map(witness => getAnswer(state, witness));
  return {
    monotonicMs:
      findMajorityValue(answers.map(at => at.monotonicMs)) + LEASE_USABLE_MS,
    wallMs: findMajorityValue(answers.map(at => at.wallMs)) + LEASE_USABLE_MS,
  };
}

function getAnswer(state: LeaseState, witness: Member): Instant {
  const name = formatMember(witness);
  const answered = state.fencedBy.has(name)
    ? undefined
    : state.answeredAt.get(name);
  return answered ?? {monotonicMs: -Infinity, wallMs: -Infinity};
}

/** Returns the largest value that a majority of the values reaches. */
function findMajorityValue(values: readonly number[]): number {
  const descending = [...values].sort((a, b) => b - a);
  return descending[getMajority(values.length) - 1] ?? -Infinity;
}
