/**
 * Decides which member owns which slice, based on the load that owners report. Slices without a live
 * owner are assigned at once. Slices of live owners change hands by planned moves, which start only when
 * a load deviates clearly from its fair share and stop when the loads are nearly balanced.
 */
import {isSameMember} from '@dottereldrift/core/member.js';
import type {
  HostName,
  Member,
  ServiceName,
  Token,
} from '@dottereldrift/core/types.js';

import {computeSliceRates, EMPTY_PROFILE} from './load_profile.js';
import type {LoadProfile} from './load_types.js';
import {MAX_DEVIATION, planMoves} from './move_plan.js';
import {OwnerLoads} from './owner_loads.js';
import {MAX_SLICES, planSplitsAndMerges} from './split_merge.js';
import {createSlices, getRingShare} from './slices.js';
import type {Assignment, Slice, SliceRef} from './types.js';

/** Input of a placement decision. */
export interface PlacementInput {
  readonly service: ServiceName;
  /** Member that makes the decision. */
  readonly writer: Member;
  readonly present: Assignment | undefined;
  /** Generation that the first assignment exceeds; default 0. */
  readonly lastGeneration?: number;
  /** Members to whose servers slices may be assigned. */
  readonly eligible: readonly Member[];
  /** Returns whether a member has ended permanently. */
  readonly isEnded: (member: Member) => boolean;
  /** Returns the member that inherits the slices and tokens of an earlier member of its host. */
  readonly getSuccessor?: (member: Member) => Member | undefined;
  /** Returns the highest token that an earlier incarnation of a member's server may hold. */
  readonly getVoidToken?: (member: Member) => Token;
  /** Slices that their owners have released for a move. */
  readonly released: readonly SliceRef[];
  readonly slicesPerServer: number;
  /** Weights of hosts, such as the slots of their servers; 1 for hosts not listed. */
  readonly weights?: ReadonlyMap<HostName, number>;
  /** Capacities of the servers of hosts, in requests per second; unknown for hosts not listed. */
  readonly capacities?: ReadonlyMap<HostName, number>;
  /** Observed load. While undefined, no slice is moved for balance, split or merged. */
  readonly profile: LoadProfile | undefined;
  /** Number of slices above which cold ones are merged, as a multiple of the target count; default 1. */
  readonly mergeFactor?: number;
  /** Relative deviation from the fair load that triggers moves; should be larger for noisier rates. */
  readonly maxDeviation?: number;
}

/**
 * Load added per owner to the observed load, spread evenly over the ring, so that a handful of requests
 * does not cause moves. In requests per second.
 */
const BASELINE_RATE_PER_OWNER = 3;

/** Returns the next assignment, or undefined if the current one stays in force. */
export function planAssignment(input: PlacementInput): Assignment | undefined {
  const {present, eligible} = input;
  const generation = (present?.generation ?? input.lastGeneration ?? 0) + 1;
  const plannedCount = Math.min(
    MAX_SLICES,
    input.slicesPerServer * eligible.length,
  );
  const initial = present?.slices ?? createSlices(plannedCount);
  const updated = applyTransitions(initial, input, generation);
  const slices =
    eligible.length === 0
      ? updated
      : planOwners(updated, input, plannedCount, generation);
  if (slices.length === 0) return undefined;
  if (present !== undefined && isUnchanged(initial, slices)) return undefined;
  return {service: input.service, generation, slices, writer: input.writer};
}

function planOwners(
  slices: readonly Slice[],
  input: PlacementInput,
  plannedCount: number,
  generation: number,
): readonly Slice[] {
  const profile = input.profile ?? EMPTY_PROFILE;
  const {eligible} = input;
  const isKnown = input.profile !== undefined;
  const baseline = BASELINE_RATE_PER_OWNER * eligible.length;
  const observed = computeSliceRates(profile, slices);
  const total = observed.reduce((sum, rate) => sum + rate, baseline);
  const meanRate = total / eligible.length;
  const {mergeFactor = 1} = input;
  const splitMergeInput = {
    plannedCount,
    profile,
    meanRate,
    mergeFactor,
    token: generation,
  };
  const reshaped = isKnown
    ? planSplitsAndMerges(slices, splitMergeInput)
    : slices;
  const rates = computeSliceRates(profile, reshaped).map(
    (rate, index) => rate + baseline * getRingShare(reshaped, index),
  );
  const weights = input.weights ?? new Map<HostName, number>();
  const {capacities} = input;
  const loads = new OwnerLoads(eligible, weights, reshaped, rates, capacities);
  const placed = placeUnowned(reshaped, rates, loads, generation);
  const {maxDeviation = MAX_DEVIATION} = input;
  const moveInput = {plannedCount, isLoadKnown: isKnown, maxDeviation};
  return planMoves(placed, rates, loads, moveInput);
}

/** Applies successions, invalid tokens, ended owners and finished or obsolete moves to the slices. */
function applyTransitions(
  slices: readonly Slice[],
  input: PlacementInput,
  generation: number,
): readonly Slice[] {
  const eligible = new Map(input.eligible.map(member => [member.host, member]));
  const isEligible = (member: Member) => {
    const current = eligible.get(member.host);
    return current !== undefined && isSameMember(current, member);
  };
  const released = new Map(input.released.map(ref => [ref.start, ref]));
  return slices.map(previous => {
    const slice = renewToken(
      passToSuccessor(previous, input, generation),
      input,
      generation,
    );
    if (slice.owner !== undefined && input.isEnded(slice.owner))
      return removeOwner(slice, generation);
    if (slice.nextOwner === undefined) return slice;
    // The owner may have released the slice already; a new token lets it resume admission.
    if (!isEligible(slice.nextOwner))
      return {...slice, token: generation, nextOwner: undefined};
    const ref = released.get(slice.start);
    return ref?.token === slice.token
      ? finishMove(slice, ref, generation)
      : slice;
  });
}

/**
 * Passes the slices of a host's earlier daemon to its restarted one. The token is kept because the server
 * still holds the slices; the idempotency records were lost with the earlier daemon.
 */
function passToSuccessor(
  slice: Slice,
  {getSuccessor}: PlacementInput,
  generation: number,
): Slice {
  if (getSuccessor === undefined) return slice;
  const owner = slice.owner && getSuccessor(slice.owner);
  const nextOwner = slice.nextOwner && getSuccessor(slice.nextOwner);
  if (owner === undefined && nextOwner === undefined) return slice;
  return {
    ...slice,
    owner: owner ?? slice.owner,
    nextOwner: nextOwner ?? slice.nextOwner,
    recordsSince: owner === undefined ? slice.recordsSince : generation,
  };
}

/** Gives a slice a new token if the server that received the current token is gone. */
function renewToken(
  slice: Slice,
  {getVoidToken}: PlacementInput,
  generation: number,
): Slice {
  if (slice.owner === undefined || getVoidToken === undefined) return slice;
  if (slice.token > getVoidToken(slice.owner)) return slice;
  return {...dropHandover(slice), token: generation};
}

function dropHandover(slice: Slice): Slice {
  const {start, owner, token, nextOwner, recordsSince} = slice;
  return {start, owner, token, nextOwner, recordsSince};
}

function removeOwner(slice: Slice, generation: number): Slice {
  const unowned = {owner: undefined, nextOwner: undefined};
  return {...dropHandover(slice), ...unowned, recordsSince: generation};
}

function finishMove(
  slice: Slice,
  {handover}: SliceRef,
  generation: number,
): Slice {
  return {
    ...dropHandover(slice),
    ...(handover === undefined ? {} : {handover}),
    owner: slice.nextOwner,
    token: generation,
    nextOwner: undefined,
  };
}

/** Assigns slices without an owner to the least loaded owners, the heaviest slices first. */
function placeUnowned(
  slices: readonly Slice[],
  rates: readonly number[],
  loads: OwnerLoads,
  generation: number,
): readonly Slice[] {
  const unowned = [...slices.keys()]
    .filter(index => slices[index]?.owner === undefined)
    .sort((a, b) => (rates[b] ?? 0) - (rates[a] ?? 0) || a - b);
  if (unowned.length === 0) return slices;
  const owners = new Map<number, Member>();
  for (const index of unowned) {
    const least = loads.getLeastLoaded();
    least.rate += rates[index] ?? 0;
    owners.set(index, least.member);
  }
  return slices.map((slice, index) => {
    const owner = owners.get(index);
    if (owner === undefined) return slice;
    return {...slice, owner, token: generation, nextOwner: undefined};
  });
}

function isUnchanged(
  before: readonly Slice[],
  after: readonly Slice[],
): boolean {
  return (
    before.length === after.length &&
    before.every((slice, index) => slice === after[index])
  );
}
