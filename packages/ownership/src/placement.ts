/**
 * Decides which member owns which slice. Slices without a live owner are given away at once; slices
 * of live owners are moved by plan, and only as many as balance needs.
 */
import {formatMember, isSameMember} from '@dottereldrift/core/member.js';
import type {Member, ServiceName} from '@dottereldrift/core/types.js';

import {createSlices} from './slices.js';
import type {Assignment, Slice, SliceRef} from './types.js';

/** What placement is decided from. */
export interface PlacementInput {
  readonly service: ServiceName;
  /** Member that decides. */
  readonly writer: Member;
  readonly present: Assignment | undefined;
  /** Members whose servers may be given slices. */
  readonly eligible: readonly Member[];
  /** Tells whether a member has ended for good. */
  readonly isEnded: (member: Member) => boolean;
  /** Slices that their owners have released for a move. */
  readonly released: readonly SliceRef[];
  readonly slicesPerServer: number;
}

/** Slices that an owner may have above the mean before some are moved away. */
const SURPLUS_ALLOWED = 1;

/** Most slices that are on the move at a time, so that few keys are unavailable at once. */
const MAX_MOVES_UNDER_WAY = 16;

/** Returns the next assignment, or undefined when the present one stands. */
export function planAssignment(input: PlacementInput): Assignment | undefined {
  const generation = (input.present?.generation ?? 0) + 1;
  const first = input.present?.slices ?? createFirstSlices(input);
  const settled = first.map(slice => settleSlice(slice, input, generation));
  const placed = placeUnowned(settled, input, generation);
  const slices = planMoves(placed, input);
  if (input.present !== undefined && isUnchanged(first, slices))
    return undefined;
  if (slices.length === 0) return undefined;
  return {service: input.service, generation, slices, writer: input.writer};
}

function createFirstSlices(input: PlacementInput): readonly Slice[] {
  return createSlices(input.slicesPerServer * input.eligible.length);
}

/** Ends what can be ended: owners that are gone, moves that were released, moves to nowhere. */
function settleSlice(
  slice: Slice,
  input: PlacementInput,
  generation: number,
): Slice {
  const isLost = slice.owner !== undefined && input.isEnded(slice.owner);
  if (isLost) {
    return {
      ...slice,
      owner: undefined,
      nextOwner: undefined,
      recordsSince: generation,
    };
  }
  if (slice.nextOwner === undefined) return slice;
  const isReleased = input.released.some(
    ref => ref.start === slice.start && ref.token === slice.token,
  );
  const isTargetGone = !isMember(input.eligible, slice.nextOwner);
  if (isReleased && !isTargetGone) {
    return {
      ...slice,
      owner: slice.nextOwner,
      token: generation,
      nextOwner: undefined,
    };
  }
  if (!isTargetGone) return slice;
  // The owner may have stopped admission already; a new token lets it start again.
  return {
    ...slice,
    token: generation,
    nextOwner: undefined,
  };
}

function placeUnowned(
  slices: readonly Slice[],
  input: PlacementInput,
  generation: number,
): readonly Slice[] {
  const loads = countLoads(slices, input.eligible);
  return slices.map(slice => {
    if (slice.owner !== undefined) return slice;
    const owner = findLeastLoaded(loads, input.eligible);
    if (owner === undefined) return slice;
    addLoad(loads, owner, 1);
    return {
      ...slice,
      owner,
      token: generation,
      nextOwner: undefined,
    };
  });
}

function planMoves(
  slices: readonly Slice[],
  input: PlacementInput,
): readonly Slice[] {
  if (input.eligible.length === 0) return slices;
  const loads = countLoads(slices, input.eligible);
  const mean = slices.length / input.eligible.length;
  let underWay = slices.filter(slice => slice.nextOwner !== undefined).length;
  return slices.map(slice => {
    if (underWay >= MAX_MOVES_UNDER_WAY) return slice;
    const target = findMoveTarget(slice, input, loads, mean);
    if (target === undefined || slice.owner === undefined) return slice;
    addLoad(loads, slice.owner, -1);
    addLoad(loads, target, 1);
    underWay += 1;
    return {...slice, nextOwner: target};
  });
}

function findMoveTarget(
  slice: Slice,
  input: PlacementInput,
  loads: Map<string, number>,
  mean: number,
): Member | undefined {
  if (slice.owner === undefined || slice.nextOwner !== undefined)
    return undefined;
  const target = findLeastLoaded(loads, input.eligible);
  if (target === undefined || isSameMember(target, slice.owner))
    return undefined;
  if (!isMember(input.eligible, slice.owner)) return target;
  const isSurplus =
    getLoad(loads, slice.owner) > Math.ceil(mean) + SURPLUS_ALLOWED;
  return isSurplus && getLoad(loads, target) < Math.floor(mean)
    ? target
    : undefined;
}

function countLoads(
  slices: readonly Slice[],
  eligible: readonly Member[],
): Map<string, number> {
  const loads = new Map(eligible.map(member => [formatMember(member), 0]));
  for (const slice of slices) {
    const holder = slice.nextOwner ?? slice.owner;
    if (holder !== undefined) addLoad(loads, holder, 1);
  }
  return loads;
}

function addLoad(
  loads: Map<string, number>,
  member: Member,
  change: number,
): void {
  const name = formatMember(member);
  loads.set(name, (loads.get(name) ?? 0) + change);
}

function getLoad(loads: Map<string, number>, member: Member): number {
  return loads.get(formatMember(member)) ?? 0;
}

function findLeastLoaded(
  loads: Map<string, number>,
  eligible: readonly Member[],
): Member | undefined {
  return eligible.reduce<Member | undefined>((best, member) => {
    return best === undefined || getLoad(loads, member) < getLoad(loads, best)
      ? member
      : best;
  }, undefined);
}

function isMember(members: readonly Member[], member: Member): boolean {
  return members.some(other => isSameMember(other, member));
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
