/**
 * Plans moves of slices between live owners: evacuates members that are no longer eligible, returns cold
 * fragments to the owner of the preceding slice, and balances load.
 */
import {isSameMember} from '@dottereldrift/core/member.js';
import type {Member} from '@dottereldrift/core/types.js';

import {
  getRelativeLoad,
  hasSpareCapacity,
  isDonorCandidate,
  isJoining,
  type OwnerLoad,
  type OwnerLoads,
} from './owner_loads.js';
import {getRingShare, getSliceEnd} from './slices.js';
import type {Slice} from './types.js';

/** Default relative deviation from the fair load that triggers moves. */
export const MAX_DEVIATION = 0.12;

/** Maximum relative deviation above the fair load that a move may give its receiver. */
const MAX_RECEIVER_DEVIATION = 0.03;

/**
 * Minimum ratio between the capacities of receiver and owner for moving a slice that exceeds its owner's
 * capacity. Above 1.2, the ratio from which a measured capacity counts as changed.
 */
const MIN_CAPACITY_RATIO = 1.3;

/** Minimum by which a move must leave the receiver's relative load below the donor's load before the move. */
const MIN_LOAD_REDUCTION = 0.01;

/** Minimum load of a slice moved for balance, as a share of the receiver's fair load. */
const MIN_MOVED_SHARE = 0.005;

/**
 * Concurrent moves in a small fleet; large fleets get one more per OWNERS_PER_CONCURRENT_MOVE owners. 32 lets
 * a hot range with twice an owner's load, split into parts of 1/13 of that load, move all at once.
 */
const MIN_CONCURRENT_MOVES = 32;
const OWNERS_PER_CONCURRENT_MOVE = 8;

/** Slices tolerated beyond the planned count before cold fragments are moved back. */
const MAX_EXTRA_SLICES = 32;

/** Input of move planning besides slices and loads. */
export interface MoveInput {
  /** Target number of slices for the size of the fleet. */
  readonly plannedCount: number;
  /** False until load reports have arrived; moves for balance wait for them. */
  readonly isLoadKnown: boolean;
  /** Relative deviation from the fair load that triggers moves. */
  readonly maxDeviation: number;
}

/** Returns the slices, with the next owner set on those that are to be moved. */
export function planMoves(
  slices: readonly Slice[],
  rates: readonly number[],
  loads: OwnerLoads,
  input: MoveInput,
): readonly Slice[] {
  const planner = new MovePlanner(slices, rates, loads, input.maxDeviation);
  planner.moveFromIneligible();
  if (!input.isLoadKnown) return planner.getSlices();
  if (slices.length > input.plannedCount + MAX_EXTRA_SLICES)
    planner.moveColdFragments();
  planner.moveOversizedSlice();
  planner.moveForBalance();
  return planner.getSlices();
}

class MovePlanner {
  private readonly nextOwners = new Map<number, Member>();
  private readonly maxMoves: number;
  private readonly movesInProgress: number;
  private slicesByHost: Map<string, number[]> | undefined;

  constructor(
    private readonly slices: readonly Slice[],
    private readonly rates: readonly number[],
    private readonly loads: OwnerLoads,
    private readonly maxDeviation: number,
  ) {
    this.maxMoves =
      MIN_CONCURRENT_MOVES +
      Math.floor(loads.owners.length / OWNERS_PER_CONCURRENT_MOVE);
    this.movesInProgress = slices.filter(
      slice => slice.nextOwner !== undefined,
    ).length;
  }

  getSlices(): readonly Slice[] {
    if (this.nextOwners.size === 0) return this.slices;
    return this.slices.map((slice, index) => {
      const nextOwner = this.nextOwners.get(index);
      return nextOwner === undefined ? slice : {...slice, nextOwner};
    });
  }

  moveFromIneligible(): void {
    this.slices.forEach((slice, index) => {
      const {owner, nextOwner} = slice;
      if (owner === undefined || nextOwner !== undefined) return;
      if (this.loads.findOwner(owner) !== undefined || !this.hasMoveCapacity())
        return;
      this.moveSlice(index, this.loads.getLeastLoaded());
    });
  }

  /** Moves cold single-position slices to the owner of the preceding slice, where they can be merged. */
  moveColdFragments(): void {
    const maxRate = this.loads.getLowestFairRate() * MIN_MOVED_SHARE;
    this.slices.forEach((slice, index) => {
      const previous = this.slices[index - 1];
      if (previous?.owner === undefined || slice.owner === undefined) return;
      const isSingle = getSliceEnd(this.slices, index) === slice.start + 1;
      const target = this.loads.findOwner(previous.owner);
      const isMoving =
        slice.nextOwner !== undefined ||
        previous.nextOwner !== undefined ||
        this.nextOwners.has(index) ||
        this.nextOwners.has(index - 1);
      const isMovable =
        isSingle &&
        !isMoving &&
        this.getRate(index) < maxRate &&
        !isSameMember(previous.owner, slice.owner);
      if (isMovable && target !== undefined && this.hasMoveCapacity())
        this.moveSlice(index, target);
    });
  }

  /**
   * Moves a slice whose load alone exceeds the capacity of its owner's server, for example because of one
   * hot key, to the owner with the highest capacity. Moves for balance then relieve that owner of other
   * slices.
   */
  moveOversizedSlice(): void {
    const target = this.loads.findHighestCapacity();
    if (target?.capacity === undefined) return;
    if (this.findOversizedSlice(target) !== undefined) return;
    for (const owner of this.loads.listByLoad()) {
      const index = this.findOversizedSlice(owner);
      const {capacity = Infinity} = owner;
      const isLarger = target.capacity >= capacity * MIN_CAPACITY_RATIO;
      if (index === undefined || !isLarger || !this.hasMoveCapacity()) continue;
      this.moveSlice(index, target);
      return;
    }
  }

  /** Returns a slice of an owner whose load alone exceeds the capacity of the owner's server. */
  private findOversizedSlice(owner: OwnerLoad): number | undefined {
    const {capacity = Infinity} = owner;
    return this.getSlicesOf(owner).find(
      index => !this.nextOwners.has(index) && this.getRate(index) > capacity,
    );
  }

  /** Moves slices from the highest loads to the lowest while either deviates too far from the fair load. */
  moveForBalance(): void {
    const exhausted = new Set<OwnerLoad>();
    while (this.hasMoveCapacity()) {
      const receiver = this.loads.getLeastLoaded();
      if (!hasSpareCapacity(receiver)) return;
      const isReceiverUnderloaded =
        getRelativeLoad(receiver) < 1 - this.maxDeviation;
      // An owner that has just joined gets its share even if no other owner is busy.
      const isReceiverJoining = isReceiverUnderloaded && isJoining(receiver);
      const minLoad = isReceiverUnderloaded ? 1 : 1 + this.maxDeviation;
      const donor = this.loads
        .listByLoad()
        .find(
          owner =>
            !exhausted.has(owner) &&
            (isReceiverJoining || isDonorCandidate(owner)) &&
            getRelativeLoad(owner) >= minLoad,
        );
      if (donor === undefined || donor === receiver) return;
      const index = this.findBestSlice(donor, receiver);
      if (index === undefined) exhausted.add(donor);
      else this.moveSlice(index, receiver);
    }
  }

  /** Returns the slice that relieves the donor of the most load per moved position. */
  private findBestSlice(
    donor: OwnerLoad,
    receiver: OwnerLoad,
  ): number | undefined {
    let best: number | undefined;
    let bestDensity = 0;
    for (const index of this.getSlicesOf(donor)) {
      if (!this.isBeneficialMove(index, donor, receiver)) continue;
      const density = this.getRate(index) / this.getWidth(index);
      if (density <= bestDensity) continue;
      best = index;
      bestDensity = density;
    }
    return best;
  }

  private isBeneficialMove(
    index: number,
    donor: OwnerLoad,
    receiver: OwnerLoad,
  ): boolean {
    if (this.nextOwners.has(index)) return false;
    const rate = this.getRate(index);
    const after = (receiver.rate + rate) / receiver.fairRate;
    return (
      rate / receiver.fairRate >= MIN_MOVED_SHARE &&
      after <= 1 + MAX_RECEIVER_DEVIATION &&
      after <= getRelativeLoad(donor) - MIN_LOAD_REDUCTION
    );
  }

  private getSlicesOf(owner: OwnerLoad): readonly number[] {
    this.slicesByHost ??= this.groupSlices();
    return this.slicesByHost.get(owner.member.host) ?? [];
  }

  private groupSlices(): Map<string, number[]> {
    const groups = new Map<string, number[]>();
    this.slices.forEach(({owner, nextOwner}, index) => {
      if (nextOwner !== undefined) return;
      const ownerLoad = this.loads.findOwner(owner);
      if (ownerLoad === undefined) return;
      const group = groups.get(ownerLoad.member.host);
      if (group === undefined) groups.set(ownerLoad.member.host, [index]);
      else group.push(index);
    });
    return groups;
  }

  private moveSlice(index: number, target: OwnerLoad): void {
    const source = this.loads.findOwner(this.slices[index]?.owner);
    const rate = this.getRate(index);
    const ringShare = getRingShare(this.slices, index);
    if (source !== undefined) {
      source.rate -= rate;
      source.ringShare -= ringShare;
    }
    target.rate += rate;
    target.ringShare += ringShare;
    this.nextOwners.set(index, target.member);
  }

  private hasMoveCapacity(): boolean {
    return this.movesInProgress + this.nextOwners.size < this.maxMoves;
  }

  private getRate(index: number): number {
    return this.rates[index] ?? 0;
  }

  private getWidth(index: number): number {
    const start = this.slices[index]?.start ?? 0;
    return getSliceEnd(this.slices, index) - start;
  }
}
