/**
 * A pure state machine that decides when a member writes its session and how it interprets the store's
 * answers.
 *
 * At most one write is pending at a time. A write whose answer was lost stays unsettled, because it may still
 * take effect at any time; reading the expected version does not rule that out. It is settled only by a
 * version above the one in force or by the success of another conditional update of that version. Until then
 * the lease requires a majority of every witness set that may be in force.
 *
 * A store that was restored from a backup may lack the latest session, or may have an older one. The member keeps the
 * session that was written last, takes on the version at which the store has the object now, and writes the session
 * again. A write of an earlier era may still take effect in the restored store, so all witness sets stay active until
 * a write in the new era has succeeded.
 */
import {isDeepStrictEqual} from 'node:util';

import {isSameMember} from '@dottereldrift/core/member.js';
import type {Member} from '@dottereldrift/core/types.js';
import {
  getExpectedVersion,
  getOrigin,
  type VersionedValue,
} from '@dottereldrift/store/version.js';

import {encodeSession} from './session_record.js';
import type {Session, VersionedSession} from './types.js';
import {isSameSet} from './witness_choice.js';

/** A conditional update of the session in the store. */
export interface SessionWrite {
  readonly session: Session;
  readonly expectedVersion: number;
}

/** A member's knowledge of its own session. */
export interface SessionWriterState {
  readonly member: Member;
  /**
   * The session that was written last, with the version at which the store has the object now; undefined before the
   * first write succeeds.
   */
  readonly inForce: VersionedSession | undefined;
  /** The write that awaits its answer. */
  readonly underWay: SessionWrite | undefined;
  /** Witness sets that may be in force beside that of `inForce`: those of writes whose answers were lost. */
  readonly unsettledSets: ReadonlyArray<readonly Member[]>;
}

/** Result of a write to the store. */
export type WriteAnswer =
  | {readonly kind: 'written'; readonly version: number}
  /** The store had a different version; the write had no effect. */
  | {readonly kind: 'conflict'}
  /** The write had no effect for another reason. */
  | {readonly kind: 'no-effect'}
  /** The write may have taken effect or may still do so. */
  | {readonly kind: 'unknown'};

/** Input events of the state machine. */
export type WriterEvent =
  /** Checks whether a write is due; `found` is the newest known session of this host. */
  | {
      readonly kind: 'check';
      readonly wanted: Session;
      readonly found: VersionedSession | undefined;
    }
  /** The session was read from the store. */
  | {readonly kind: 'seen'; readonly found: VersionedSession}
  /** A write was answered or abandoned. */
  | {
      readonly kind: 'answered';
      readonly write: SessionWrite;
      readonly answer: WriteAnswer;
    };

/** Action to take after an event. */
export type WriterEffect =
  | {readonly kind: 'none'}
  | {readonly kind: 'write'; readonly write: SessionWrite}
  /** Read the session from the store. */
  | {readonly kind: 'read'}
  /** This member's session has ended; rejoin as a new member. */
  | {readonly kind: 'rejoin'}
  /** An earlier member of this host must be ended first. */
  | {readonly kind: 'end-earlier'; readonly earlier: VersionedSession};

/** A new state and the action to take. */
export interface WriterStep {
  readonly state: SessionWriterState;
  readonly effect: WriterEffect;
}

const NO_EFFECT: WriterEffect = {kind: 'none'};

/**
 * Returns whether the store has the known value at the known version. It may have an older value if it was restored
 * from a backup, or if a write of an earlier era has reached it since.
 */
export function isConfirmed(known: VersionedValue): boolean {
  return getOrigin(known) === known.version;
}

/** Creates the state of a member without a session. */
export function createWriterState(member: Member): SessionWriterState {
  return {member, inForce: undefined, underWay: undefined, unsettledSets: []};
}

/** Applies an event and returns the new state and the action to take. */
export function applyWriterEvent(
  state: SessionWriterState,
  event: WriterEvent,
): WriterStep {
  switch (event.kind) {
    case 'check':
      return checkWrite(state, event.wanted, event.found);
    case 'seen':
      return applyFound(state, event.found);
    case 'answered':
      return settleWrite(state, event.write, event.answer);
  }
}

/** Returns the distinct witness sets that may be in force; the lease requires a majority of each. */
export function getActiveSets(
  state: SessionWriterState,
): ReadonlyArray<readonly Member[]> {
  const possible = [
    ...(state.inForce === undefined ? [] : [state.inForce.session.witnesses]),
    ...state.unsettledSets,
    ...(state.underWay === undefined ? [] : [state.underWay.session.witnesses]),
  ];
  return possible.filter(
    (set, index) =>
      possible.findIndex(other => isSameSet(other, set)) === index,
  );
}

function checkWrite(
  state: SessionWriterState,
  wanted: Session,
  found: VersionedSession | undefined,
): WriterStep {
  if (state.underWay !== undefined) return {state, effect: NO_EFFECT};
  if (state.inForce === undefined)
    return checkInitialWrite(state, wanted, found);
  const seen =
    found === undefined ? {state, effect: NO_EFFECT} : applyFound(state, found);
  if (seen.effect.kind !== 'none' || seen.state !== state) return seen;
  return checkUpdate(state, state.inForce, wanted);
}

function checkInitialWrite(
  state: SessionWriterState,
  wanted: Session,
  found: VersionedSession | undefined,
): WriterStep {
  if (found === undefined) return startWrite(state, wanted, 0);
  const isOwn = isSameMember(found.session.member, state.member);
  if (isOwn) return applyFound(state, found);
  const isPredecessor =
    wanted.follows?.includes(found.session.member.incarnation) === true;
  if (found.session.isEnded || isPredecessor)
    return startWrite(state, wanted, getExpectedVersion(found));
  return {state, effect: {kind: 'end-earlier', earlier: found}};
}

function checkUpdate(
  state: SessionWriterState,
  inForce: VersionedSession,
  wanted: Session,
): WriterStep {
  const witnesses = chooseNextSet(state, inForce, wanted);
  const next = {...wanted, witnesses};
  const isDue =
    state.unsettledSets.length > 0 ||
    !isConfirmed(inForce) ||
    !isSameSession(inForce.session, next);
  return isDue
    ? startWrite(state, next, getExpectedVersion(inForce))
    : {state, effect: NO_EFFECT};
}

/**
 * Returns the witness set to write. An unsettled set is retried, so that a late write names no other set than the one
 * in force then, and no third set becomes possible before the earlier ones are settled.
 */
function chooseNextSet(
  {unsettledSets}: SessionWriterState,
  inForce: VersionedSession,
  wanted: Session,
): readonly Member[] {
  const latest = unsettledSets[unsettledSets.length - 1];
  if (latest !== undefined) return latest;
  return isConfirmed(inForce) ? wanted.witnesses : inForce.session.witnesses;
}

function startWrite(
  state: SessionWriterState,
  session: Session,
  expectedVersion: number,
): WriterStep {
  const write = {session, expectedVersion};
  return {state: {...state, underWay: write}, effect: {kind: 'write', write}};
}

function applyFound(
  state: SessionWriterState,
  found: VersionedSession,
): WriterStep {
  const {inForce, member} = state;
  const isOwn = isSameMember(found.session.member, member);
  if (inForce === undefined && !isOwn) return {state, effect: NO_EFFECT};
  const isWrittenLater =
    inForce === undefined || getOrigin(found) > getOrigin(inForce);
  if (isWrittenLater && (!isOwn || found.session.isEnded))
    return {state: createWriterState(member), effect: {kind: 'rejoin'}};
  const isNewer = inForce === undefined || found.version > inForce.version;
  if (!isNewer && !isWrittenLater) return {state, effect: NO_EFFECT};
  const merged = mergeFound(inForce, found);
  const next = isConfirmed(merged)
    ? adoptSession(state, merged)
    : {...state, inForce: merged, unsettledSets: keepSets(state, merged)};
  return {state: next, effect: NO_EFFECT};
}

/** Merges what was found: the session that was written last, with the version at which the store has the object. */
function mergeFound(
  inForce: VersionedSession | undefined,
  found: VersionedSession,
): VersionedSession {
  if (inForce === undefined) return found;
  const last = getOrigin(found) > getOrigin(inForce) ? found : inForce;
  const {version, isAbsent} = found.version > inForce.version ? found : inForce;
  return {
    session: last.session,
    version,
    origin: getOrigin(last),
    ...(isAbsent === undefined ? {} : {isAbsent}),
  };
}

/** Returns the unsettled sets together with the set that the merged session replaces; the one written last is last. */
function keepSets(
  {inForce, unsettledSets}: SessionWriterState,
  merged: VersionedSession,
): ReadonlyArray<readonly Member[]> {
  if (inForce === undefined || inForce.session === merged.session)
    return unsettledSets;
  const sets = [inForce.session.witnesses, merged.session.witnesses];
  return unsettledSets.reduce(addSet, sets);
}

function settleWrite(
  state: SessionWriterState,
  write: SessionWrite,
  answer: WriteAnswer,
): WriterStep {
  if (state.underWay !== write) return {state, effect: NO_EFFECT};
  const idle = {...state, underWay: undefined};
  if (answer.kind === 'written') {
    const {session} = write;
    const step = applyFound(idle, {session, version: answer.version});
    // A write of an earlier era than the one in force may be lost again or may take effect a second time.
    return step.effect.kind === 'none' ? keepSetOf(step.state, write) : step;
  }
  if (answer.kind === 'conflict') return {state: idle, effect: {kind: 'read'}};
  if (answer.kind === 'no-effect') return {state: idle, effect: NO_EFFECT};
  return keepSetOf(idle, write);
}

/** Keeps the witness set of a write that may take effect or may have taken effect already. */
function keepSetOf(state: SessionWriterState, write: SessionWrite): WriterStep {
  if (isSettled(state.inForce, write)) return {state, effect: NO_EFFECT};
  const unsettledSets = addSet(state.unsettledSets, write.session.witnesses);
  return {state: {...state, unsettledSets}, effect: NO_EFFECT};
}

/** Returns whether a write has taken effect as the session in force or no longer can. */
function isSettled(
  inForce: VersionedSession | undefined,
  {expectedVersion}: SessionWrite,
): boolean {
  if (inForce === undefined) return expectedVersion !== 0;
  return (
    isConfirmed(inForce) && expectedVersion !== getExpectedVersion(inForce)
  );
}

/** Adopts a session. Writes that expect an earlier version can no longer take effect and are settled. */
function adoptSession(
  state: SessionWriterState,
  found: VersionedSession,
): SessionWriterState {
  const {session, version} = found;
  return {...state, inForce: {session, version}, unsettledSets: []};
}

function addSet(
  sets: ReadonlyArray<readonly Member[]>,
  set: readonly Member[],
): ReadonlyArray<readonly Member[]> {
  return sets.some(other => isSameSet(other, set)) ? sets : [...sets, set];
}

/** Compares the encoded sessions. Encoding dominates the cost of a check, so equal objects skip it. */
function isSameSession(a: Session, b: Session): boolean {
  if (isDeepStrictEqual(a, b)) return true;
  return Buffer.from(encodeSession(a)).equals(Buffer.from(encodeSession(b)));
}
