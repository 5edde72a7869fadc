/**
 * Plans the placement of slices from the load that owners report and the slots that backend servers
 * announce. Planning is skipped while its inputs are the same as in the last run that changed nothing.
 */
import {formatMember} from '@dottereldrift/core/member.js';
import type {HostName, ServiceName} from '@dottereldrift/core/types.js';
import {
  computeSliceRates,
  EMPTY_PROFILE,
} from '@dottereldrift/ownership/load_profile.js';
import type {LoadProfile} from '@dottereldrift/ownership/load_types.js';
import {
  planAssignment,
  type PlacementInput,
} from '@dottereldrift/ownership/placement.js';
import type {Assignment} from '@dottereldrift/ownership/types.js';

import type {LoadTracker} from './load_tracker.js';
import type {Settings} from './settings.js';
import type {StoreView} from './store_view.js';

/** Planning inputs that the coordinator provides; the planner adds load and weights. */
export type PlannerInput = Omit<
  PlacementInput,
  'profile' | 'weights' | 'capacities' | 'maxDeviation' | 'mergeFactor'
>;

/**
 * Assumed requests per second of a slot until owners report measured capacities. It corresponds to a
 * service time of 50 ms, which is typical of user workloads.
 */
const ASSUMED_RATE_PER_SLOT = 20;

interface OwnerSummary {
  readonly count: number;
  /** Requests per second. */
  readonly rate: number;
  /** Slices with a planned move to another owner. */
  readonly leaving: number;
}

const NO_SLICES: OwnerSummary = {count: 0, rate: 0, leaving: 0};

/** Inputs of a planning run that left the assignment unchanged. */
interface UnchangedPlanInputs {
  readonly present: Assignment | undefined;
  readonly profile: LoadProfile | undefined;
  readonly members: string;
}

/** Plans the slice assignments of services. */
export class PlacementPlanner {
  private readonly unchangedInputs = new Map<
    ServiceName,
    UnchangedPlanInputs
  >();

  constructor(
    private readonly view: StoreView,
    private readonly loads: LoadTracker,
    private readonly limits: Pick<
      Settings['loadPace'],
      'maxDeviation' | 'mergeFactor'
    >,
  ) {}

  /** Returns the next assignment, or undefined if the current one remains. */
  plan(input: PlannerInput): Assignment | undefined {
    const {service, present} = input;
    const profile =
      present === undefined
        ? undefined
        : this.loads.readProfile(service, present);
    const capacities = this.getCapacities(input);
    const unchanged = this.unchangedInputs.get(service);
    const members = this.formatMembers(input, capacities);
    const isUnchanged =
      input.released.length === 0 &&
      unchanged?.present === present &&
      unchanged?.profile === profile &&
      unchanged?.members === members;
    if (isUnchanged) return undefined;
    const next = planAssignment({
      ...input,
      profile,
      weights: capacities,
      capacities,
      maxDeviation: this.limits.maxDeviation,
      mergeFactor: this.limits.mergeFactor,
    });
    if (next === undefined)
      this.unchangedInputs.set(service, {present, profile, members});
    return next;
  }

  /** Returns log fields that describe an assignment and the load behind it. */
  formatSummary(
    assignment: Assignment,
  ): Record<string, string | number | boolean> {
    const {service, generation, slices} = assignment;
    const profile = this.loads.getProfile(service);
    const rates = computeSliceRates(profile, slices);
    const owners = new Map<HostName, OwnerSummary>();
    slices.forEach(({owner, nextOwner}, index) => {
      const host = owner?.host ?? 'none';
      const {count, rate, leaving} = owners.get(host) ?? NO_SLICES;
      owners.set(host, {
        count: count + 1,
        rate: rate + (rates[index] ?? 0),
        leaving: leaving + (nextOwner === undefined ? 0 : 1),
      });
    });
    const capacities = this.loads.getCapacities(
      service,
      slices.flatMap(({owner}) => owner ?? []),
    );
    return {
      service,
      generation,
      isLoadKnown: profile !== EMPTY_PROFILE,
      owners: [...owners]
        .map(([host, {count, rate, leaving}]) => {
          const capacity = Math.round(capacities?.get(host) ?? 0);
          return `${host}: ${count} slices, ${leaving} moving, ${Math.round(rate)}/s of ${capacity}/s`;
        })
        .join('; '),
    };
  }

  /** Returns the capacity of each eligible host: measured if known, otherwise estimated from its slots. */
  private getCapacities(input: PlannerInput): ReadonlyMap<HostName, number> {
    this.loads.removeAbsentHosts(input.service, input.eligible);
    const capacities = this.loads.getCapacities(input.service, input.eligible);
    if (capacities !== undefined) return capacities;
    const estimated = new Map<HostName, number>();
    for (const {host} of input.eligible) {
      const servers = this.view.getSession(host)?.session.servers ?? [];
      const server = servers.find(other => other.service === input.service);
      const slots = Math.max(1, server?.slots ?? 1);
      estimated.set(host, slots * ASSUMED_RATE_PER_SLOT);
    }
    return estimated;
  }

  /** Formats the eligible members with their weights and the live members, for comparison between runs. */
  private formatMembers(
    input: PlannerInput,
    weights: ReadonlyMap<HostName, number>,
  ): string {
    const eligible = input.eligible.map(
      member => `${formatMember(member)}=${weights.get(member.host)}`,
    );
    const live = this.view.getLiveSessions().map(session => {
      const {member, follows = []} = session;
      const voidToken = this.view.getVoidToken(member.host, input.service);
      return [formatMember(member), voidToken, ...follows].join('+');
    });
    return [...eligible, '/', ...live, input.slicesPerServer].join(' ');
  }
}
