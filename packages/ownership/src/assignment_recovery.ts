/**
 * Decides how the assignment of a service goes on after the store was restored from a backup. The backup may lack the
 * last writes, so an assignment that it contains is used only once the daemons have told which one they know.
 *
 * Daemons that lived through the restoration are certain: each of them knows every assignment by which it granted
 * slices, and which slices it has released. A daemon that has started since, or does not answer, may have granted slices
 * by an assignment that nobody else remembers. Such grants are waited for, and its slices get new tokens.
 */
import {isSameMember} from '@dottereldrift/core/member.js';
import type {Member} from '@dottereldrift/core/types.js';

import type {Assignment, Slice, SliceRef} from './types.js';

/**
 * Number of generations of one era of the store. Generations of an era begin at a multiple of it, so that they exceed
 * all generations, and hence tokens, of earlier eras, also of those that nobody remembers. With the highest era of a
 * version, 4,095, generations stay below 2^43.
 */
const GENERATIONS_PER_ERA = 1_000_000_000;

/**
 * Step above the highest known generation. It exceeds the number of writes that a restoration can lose: the store
 * takes several hundred writes per second, and a backup is some seconds old.
 */
const GENERATION_STEP = 1_000_000;

/** Maximum times to wait for members, in milliseconds since each was first asked. */
export interface RecoveryWaits {
  /** For a member that started after the restoration: until the grants of its predecessor have expired. */
  readonly lostGrantsMs: number;
  /** For a live member that does not answer. */
  readonly unansweredMs: number;
  /** For a live member that does not answer, while nobody is certain: it may be the only one that holds slices. */
  readonly unansweredIfUncertainMs: number;
}

/** What a member has answered. */
export interface RecoveryAnswer {
  /** Whether the member had its assignment, or knew that there was none, before the store was restored. */
  readonly isCertain: boolean;
  readonly hasAssignment: boolean;
  /** Slices of the member whose release was requested; it does not serve them again under their tokens. */
  readonly released: readonly SliceRef[];
}

/** A member that is asked. */
export interface RecoveryParticipant {
  readonly member: Member;
  /** Milliseconds since the member was first asked. */
  readonly waitedMs: number;
  /** Undefined until the member answers. */
  readonly answer: RecoveryAnswer | undefined;
}

/** Input of a decision. */
export interface RecoveryInput {
  readonly service: string;
  /** Era of the store. */
  readonly era: number;
  /** The assignment that was written last of all that are known; undefined if none is known. */
  readonly known: Assignment | undefined;
  /** The live members, including the one that decides. */
  readonly participants: readonly RecoveryParticipant[];
  /** Member that makes the decision. */
  readonly writer: Member;
  readonly waits: RecoveryWaits;
}

/**
 * - `wait`: members that may hold slices by an unknown assignment are waited for.
 * - `write`: the assignment is to be written before any other change.
 * - `place`: there is no assignment; the first one gets a generation above `lastGeneration`.
 */
export type RecoveryDecision =
  | {readonly kind: 'wait'}
  | {readonly kind: 'write'; readonly assignment: Assignment}
  | {readonly kind: 'place'; readonly lastGeneration: number};

/** Returns the lowest generation of an era; all generations of earlier eras are lower. */
export function getFirstGeneration(era: number): number {
  return era * GENERATIONS_PER_ERA;
}

/** Decides how the assignment of a service goes on. */
export function evaluateRecovery(input: RecoveryInput): RecoveryDecision {
  const {era, known, participants, writer, waits} = input;
  const isAnyCertain = participants.some(
    ({answer}) => answer?.isCertain === true && answer.hasAssignment,
  );
  const isWaiting = participants.some(
    participant =>
      participant.waitedMs < getWaitLimitMs(participant, isAnyCertain, waits),
  );
  if (isWaiting) return {kind: 'wait'};
  if (known === undefined)
    return {kind: 'place', lastGeneration: getFirstGeneration(era)};
  const generation = Math.max(
    known.generation + GENERATION_STEP,
    getFirstGeneration(era),
  );
  const slices = known.slices.map(slice =>
    isUnmoved(slice, participants) ? slice : renewSlice(slice, generation),
  );
  return {kind: 'write', assignment: {...known, generation, slices, writer}};
}

function getWaitLimitMs(
  {answer}: RecoveryParticipant,
  isAnyCertain: boolean,
  waits: RecoveryWaits,
): number {
  if (answer?.isCertain === true) return 0;
  if (answer !== undefined) return waits.lostGrantsMs;
  return isAnyCertain ? waits.unansweredMs : waits.unansweredIfUncertainMs;
}

/**
 * Returns whether no other member can have got a slice: the owner remembers that it has not released it, or the move
 * for which it was released is known. Otherwise another server may have seen a higher token than that of the slice, and
 * the owner does not serve a released slice again under its token.
 */
function isUnmoved(
  {owner, nextOwner, start, token}: Slice,
  participants: readonly RecoveryParticipant[],
): boolean {
  if (owner === undefined) return true;
  const {answer} =
    participants.find(({member}) => isSameMember(member, owner)) ?? {};
  if (answer?.isCertain !== true || !answer.hasAssignment) return false;
  return (
    nextOwner !== undefined ||
    !answer.released.some(ref => ref.start === start && ref.token === token)
  );
}

/** Gives a slice a token above all earlier ones. Its idempotency records may be with a member that is not known. */
function renewSlice({start, owner}: Slice, generation: number): Slice {
  return {
    start,
    owner,
    token: generation,
    nextOwner: undefined,
    recordsSince: generation,
  };
}
