/**
 * Tracks the loads of a service's owners during placement planning, relative to each owner's fair share,
 * which is proportional to the slots of its server.
 */
import {assertDefined} from '@dottereldrift/core/assert.js';
import type {HostName, Member} from '@dottereldrift/core/types.js';

import {getRingShare} from './slices.js';
import type {Slice} from './types.js';

/** Load of an eligible member during planning. */
export interface OwnerLoad {
  readonly member: Member;
  /** Fair load for the owner's weight, in requests per second. */
  readonly fairRate: number;
  /** Requests per second that the owner's server can process; undefined if unknown. */
  readonly capacity: number | undefined;
  /** Load of the slices that the owner has or is about to receive, in requests per second. */
  rate: number;
  /** Share of the ring that is fair for the owner's weight. */
  readonly fairRingShare: number;
  /** Share of the ring in the slices that the owner has or is about to receive. */
  ringShare: number;
}

/**
 * Utilization below which an owner gives no slices away for balance: its requests hardly queue, and every
 * move makes keys briefly unavailable.
 */
const MIN_DONOR_UTILIZATION = 0.5;

/** Fraction of its fair share of the ring below which an owner is still joining. */
const JOINED_SHARE = 0.75;

/** Returns whether an owner has joined and does not have its share of the ring yet. */
export function isJoining({ringShare, fairRingShare}: OwnerLoad): boolean {
  return ringShare < fairRingShare * JOINED_SHARE;
}

/** Returns whether an owner is utilized enough to give slices away; true if its capacity is unknown. */
export function isDonorCandidate({rate, capacity}: OwnerLoad): boolean {
  return capacity === undefined || rate >= capacity * MIN_DONOR_UTILIZATION;
}

/**
 * Returns whether the server of an owner can process more requests than it gets; true if its capacity is unknown.
 * While it cannot, moving slices to it only changes which requests are refused.
 */
export function hasSpareCapacity({rate, capacity}: OwnerLoad): boolean {
  return capacity === undefined || rate < capacity;
}

/** Returns the load relative to the fair load; 1 is exactly the fair share. */
export function getRelativeLoad({rate, fairRate}: OwnerLoad): number {
  return rate / fairRate;
}

/** Tracks the loads of the eligible owners. */
export class OwnerLoads {
  readonly owners: readonly OwnerLoad[];
  private readonly byHost: ReadonlyMap<HostName, OwnerLoad>;

  constructor(
    eligible: readonly Member[],
    weights: ReadonlyMap<HostName, number>,
    slices: readonly Slice[],
    rates: readonly number[],
    capacities: ReadonlyMap<HostName, number> = new Map(),
  ) {
    const total = rates.reduce((sum, rate) => sum + rate, 0);
    const getWeight = (member: Member) => weights.get(member.host) ?? 1;
    const weight = eligible.reduce((sum, member) => sum + getWeight(member), 0);
    this.owners = eligible.map(member => ({
      member,
      fairRate: (total * getWeight(member)) / weight,
      capacity: capacities.get(member.host),
      rate: 0,
      fairRingShare: getWeight(member) / weight,
      ringShare: 0,
    }));
    this.byHost = new Map(this.owners.map(owner => [owner.member.host, owner]));
    slices.forEach((slice, index) => {
      const owner = this.findOwner(slice.nextOwner ?? slice.owner);
      if (owner === undefined) return;
      owner.rate += rates[index] ?? 0;
      owner.ringShare += getRingShare(slices, index);
    });
  }

  /** Returns the load of a member, or undefined if it is not eligible. */
  findOwner(member: Member | undefined): OwnerLoad | undefined {
    if (member === undefined) return undefined;
    const owner = this.byHost.get(member.host);
    return owner?.member.incarnation === member.incarnation ? owner : undefined;
  }

  /** Returns the owner with the lowest relative load. */
  getLeastLoaded(): OwnerLoad {
    const least = this.owners.reduce<OwnerLoad | undefined>(
      (best, owner) =>
        best === undefined || getRelativeLoad(owner) < getRelativeLoad(best)
          ? owner
          : best,
      undefined,
    );
    return assertDefined(least, 'There is an owner.');
  }

  /** Returns the owner with the highest capacity, or undefined if no capacity is known. */
  findHighestCapacity(): OwnerLoad | undefined {
    return this.owners.reduce<OwnerLoad | undefined>(
      (best, owner) =>
        (owner.capacity ?? 0) > (best?.capacity ?? 0) ? owner : best,
      undefined,
    );
  }

  /** Returns the lowest fair load among the owners, in requests per second. */
  getLowestFairRate(): number {
    return Math.min(...this.owners.map(owner => owner.fairRate));
  }

  /** Returns the owners in descending order of relative load. */
  listByLoad(): readonly OwnerLoad[] {
    return [...this.owners].sort(
      (a, b) => getRelativeLoad(b) - getRelativeLoad(a),
    );
  }
}
