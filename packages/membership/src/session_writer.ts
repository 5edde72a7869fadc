/**
 * Decides what a member writes of its session and what each answer of the store means, as a pure
 * state machine.
 *
 * One write is under way at a time. A write whose answer was lost stays unsettled: it may still take
 * effect at any time. Reading the version that was expected proves nothing about it. Only a version
 * above the one in force, or the success of another conditional update at it, settles it. Until then
 * the lease needs a majority of every witness set that may be in force.
 */
import {isDeepStrictEqual} from 'node:util';

import {isSameMember} from '@dottereldrift/core/member.js';
import type {Member} from '@dottereldrift/core/types.js';

import {encodeSession} from './session_record.js';
import type {Session, VersionedSession} from './types.js';
import {isSameSet} from './witness_choice.js';

/** A conditional update of the session. */
export interface SessionWrite {
  readonly session: Session;
  readonly expectedVersion: number;
}

/** What a member knows of its own session. */
export interface WriterState {
  readonly member: Member;
  /** The session known to be in force; undefined before the first one is. */
  readonly inForce: VersionedSession | undefined;
  /** The write whose answer is awaited. */
  readonly underWay: SessionWrite | undefined;
  /** Witness sets of writes at the version in force whose answers were lost. */
  readonly unsettled: ReadonlyArray<readonly Member[]>;
}

/** Answer of the store to a write. */
export type WriteAnswer =
  | {readonly kind: 'written'; readonly version: number}
  /** Another version was found; the write had no effect. */
  | {readonly kind: 'conflict'}
  /** The write had no effect, for another reason. */
  | {readonly kind: 'no-effect'}
  /** The write may have taken effect, or may yet do so. */
  | {readonly kind: 'unknown'};

/** What may happen to a session. */
export type WriterEvent =
  /** Time to look whether a write is due; `found` is the newest session known of this host. */
  | {
      readonly kind: 'check';
      readonly wanted: Session;
      readonly found: VersionedSession | undefined;
    }
  /** The store was read. */
  | {readonly kind: 'seen'; readonly found: VersionedSession}
  /** A write was answered, or given up. */
  | {
      readonly kind: 'answered';
      readonly write: SessionWrite;
      readonly answer: WriteAnswer;
    };

/** What is to be done after an event. */
export type WriterEffect =
  | {readonly kind: 'none'}
  | {readonly kind: 'write'; readonly write: SessionWrite}
  /** Read the session, to learn what is in force. */
  | {readonly kind: 'read'}
  /** This member has ended: go on as another one. */
  | {readonly kind: 'rejoin'}
  /** Another member of this host has to be ended first. */
  | {readonly kind: 'end-earlier'; readonly earlier: VersionedSession};

/** A new state with what is to be done. */
export interface WriterStep {
  readonly state: WriterState;
  readonly effect: WriterEffect;
}

const NOTHING: WriterEffect = {kind: 'none'};

/** Creates the state of a member that has no session yet. */
export function createWriterState(member: Member): WriterState {
  return {member, inForce: undefined, underWay: undefined, unsettled: []};
}

/** Applies an event. */
export function applyWriterEvent(
  state: WriterState,
  event: WriterEvent,
): WriterStep {
  switch (event.kind) {
    case 'check':
      return checkWrite(state, event.wanted, event.found);
    case 'seen':
      return applySeen(state, event.found);
    case 'answered':
      return settleWrite(state, event.write, event.answer);
  }
}

/** Returns the witness sets that may be in force, of each of which the lease needs a majority. */
export function getActiveSets(
  state: WriterState,
): ReadonlyArray<readonly Member[]> {
  const possible = [
    ...(state.inForce === undefined ? [] : [state.inForce.session.witnesses]),
    ...state.unsettled,
    ...(state.underWay === undefined ? [] : [state.underWay.session.witnesses]),
  ];
  return possible.filter(
    (set, index) =>
      possible.findIndex(other => isSameSet(other, set)) === index,
  );
}

function checkWrite(
  state: WriterState,
  wanted: Session,
  found: VersionedSession | undefined,
): WriterStep {
  if (state.underWay !== undefined) return {state, effect: NOTHING};
  if (state.inForce === undefined) return checkFirst(state, wanted, found);
  const seen =
    found === undefined ? {state, effect: NOTHING} : applySeen(state, found);
  if (seen.effect.kind !== 'none' || seen.state !== state) return seen;
  return checkChange(state, state.inForce, wanted);
}

function checkFirst(
  state: WriterState,
  wanted: Session,
  found: VersionedSession | undefined,
): WriterStep {
  if (found === undefined) return startWrite(state, wanted, 0);
  const isOurs = isSameMember(found.session.member, state.member);
  if (isOurs) return applySeen(state, found);
  const isFollowed =
    wanted.follows?.includes(found.session.member.incarnation) === true;
  if (found.session.isEnded || isFollowed)
    return startWrite(state, wanted, found.version);
  return {state, effect: {kind: 'end-earlier', earlier: found}};
}

function checkChange(
  state: WriterState,
  inForce: VersionedSession,
  wanted: Session,
): WriterStep {
  const latest = state.unsettled[state.unsettled.length - 1];
  if (latest !== undefined) {
    // No third set before the second one is settled.
    const settling = {...wanted, witnesses: latest};
    return startWrite(state, settling, inForce.version);
  }
  if (isSameSession(inForce.session, wanted)) return {state, effect: NOTHING};
  return startWrite(state, wanted, inForce.version);
}

function startWrite(
  state: WriterState,
  session: Session,
  expectedVersion: number,
): WriterStep {
  const write = {session, expectedVersion};
  return {state: {...state, underWay: write}, effect: {kind: 'write', write}};
}

function applySeen(state: WriterState, found: VersionedSession): WriterStep {
  const knownVersion = state.inForce?.version ?? 0;
  if (found.version <= knownVersion) return {state, effect: NOTHING};
  const isOurs = isSameMember(found.session.member, state.member);
  if (isOurs && !found.session.isEnded)
    return {state: adoptSession(state, found), effect: NOTHING};
  if (state.inForce === undefined && !isOurs) return {state, effect: NOTHING};
  return {state: createWriterState(state.member), effect: {kind: 'rejoin'}};
}

function settleWrite(
  state: WriterState,
  write: SessionWrite,
  answer: WriteAnswer,
): WriterStep {
  if (state.underWay !== write) return {state, effect: NOTHING};
  const idle = {...state, underWay: undefined};
  if (answer.kind === 'written') {
    const {session} = write;
    return applySeen(idle, {session, version: answer.version});
  }
  if (answer.kind === 'conflict') return {state: idle, effect: {kind: 'read'}};
  const isCurrent = write.expectedVersion === (state.inForce?.version ?? 0);
  if (answer.kind === 'no-effect' || !isCurrent)
    return {state: idle, effect: NOTHING};
  const unsettled = addSet(state.unsettled, write.session.witnesses);
  return {state: {...idle, unsettled}, effect: NOTHING};
}

/** Writes that expected an earlier version can no longer take effect. */
function adoptSession(
  state: WriterState,
  found: VersionedSession,
): WriterState {
  return {...state, inForce: found, unsettled: []};
}

function addSet(
  sets: ReadonlyArray<readonly Member[]>,
  set: readonly Member[],
): ReadonlyArray<readonly Member[]> {
  return sets.some(other => isSameSet(other, set)) ? sets : [...sets, set];
}

/** Compares what would be written. Encoding takes most of a check, so equal objects are told without. */
function isSameSession(a: Session, b: Session): boolean {
  if (isDeepStrictEqual(a, b)) return true;
  return Buffer.from(encodeSession(a)).equals(Buffer.from(encodeSession(b)));
}
