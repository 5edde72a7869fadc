/**
 * Runs a placement policy under seeded traffic in simulated time, while owners join, leave and fail, and
 * measures load imbalance and key movement.
 */
import type {Member} from '@dottereldrift/core/types.js';

import type {PlacementPolicy} from './placement_policies.js';
import {KeyTraffic} from './placement_traffic.js';

/** Options of a simulated run. */
export interface SimulationOptions {
  readonly owners: number;
  readonly keys: number;
  /** Exponent of the Zipf distribution. */
  readonly exponent: number;
  readonly requestsPerOwnerSecond: number;
  readonly seed: number;
}

/** Measurements of a simulated run. */
export interface SimulationResult {
  readonly policy: string;
  readonly owners: number;
  /** Imbalance, which is the highest load of an owner divided by the mean load, averaged over time. */
  readonly meanImbalance: number;
  /** Highest imbalance after the warm-up. */
  readonly worstImbalance: number;
  /** Lower bound of the imbalance for any placement, given that the hottest key has a single owner. */
  readonly leastImbalance: number;
  /** Number of owner changes of keys, divided by the number of keys. */
  readonly movedShare: number;
  /** Number of owner changes that the member changes require at least, divided by the number of keys. */
  readonly neededShare: number;
  readonly moves: number;
  readonly slices: number;
  readonly longestPlanMs: number;
}

const STEP_MS = 2_000;
const MS_PER_SECOND = 1_000;
const STEPS_PER_SAMPLE = 5;
const WARM_UP_MS = 60_000;
const HOT_KEY_CHANGE_INTERVAL_MS = 120_000;
const JOIN_AT_MS = 180_000;
const LOSS_AT_MS = 360_000;
const DEPARTURE_AT_MS = 540_000;
/** Duration of a run in simulated time. */
export const RUN_MS = 720_000;
/** One owner in this many joins, fails or leaves at each member change. */
const OWNERS_PER_CHANGE = 10;

/** Runs one simulation of a placement policy. */
export function runSimulation(
  policy: PlacementPolicy,
  options: SimulationOptions,
): SimulationResult {
  const simulation = new Simulation(policy, options);
  return simulation.run();
}

class Simulation {
  private readonly traffic: KeyTraffic;
  private members: readonly Member[];
  private readonly hosts: Array<string | undefined>;
  private readonly imbalances: number[] = [];
  private version = -1;
  private movedKeys = 0;
  private neededShare = 0;

  constructor(
    private readonly policy: PlacementPolicy,
    private readonly options: SimulationOptions,
  ) {
    this.traffic = new KeyTraffic(options.keys, options.exponent, options.seed);
    this.members = createMembers(0, options.owners);
    this.hosts = Array.from({length: options.keys}, () => undefined);
  }

  run(): SimulationResult {
    const {policy, options, traffic} = this;
    policy.applyMembers(this.members, 0);
    this.updateHosts();
    for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
      if (nowMs > 0 && nowMs % HOT_KEY_CHANGE_INTERVAL_MS === 0)
        traffic.drawHotKeys();
      this.applyMemberChanges(nowMs);
      this.sendRequests(nowMs);
      policy.plan(nowMs + STEP_MS);
      this.updateHosts();
      const isSample = (nowMs / STEP_MS) % STEPS_PER_SAMPLE === 0;
      if (isSample && nowMs >= WARM_UP_MS) this.recordImbalance();
    }
    const sum = this.imbalances.reduce((total, value) => total + value, 0);
    return {
      policy: policy.name,
      owners: options.owners,
      meanImbalance: sum / this.imbalances.length,
      worstImbalance: Math.max(...this.imbalances),
      leastImbalance: Math.max(1, traffic.getHottestShare() * options.owners),
      movedShare: this.movedKeys / options.keys,
      neededShare: this.neededShare,
      moves: policy.getMoves(),
      slices: policy.getSliceCount(),
      longestPlanMs: policy.getLongestPlanMs(),
    };
  }

  private applyMemberChanges(nowMs: number): void {
    const {owners} = this.options;
    const count = Math.max(1, Math.round(owners / OWNERS_PER_CHANGE));
    if (nowMs === JOIN_AT_MS) {
      this.members = [...this.members, ...createMembers(owners, count)];
      this.neededShare += count / this.members.length;
    } else if (nowMs === LOSS_AT_MS || nowMs === DEPARTURE_AT_MS) {
      const removedHosts = new Set(
        this.members.slice(0, count).map(member => member.host),
      );
      this.members = this.members.slice(count);
      const keys = this.hosts.filter(host =>
        removedHosts.has(host ?? ''),
      ).length;
      this.neededShare += keys / this.options.keys;
    } else {
      return;
    }
    this.policy.applyMembers(this.members, nowMs);
  }

  private sendRequests(nowMs: number): void {
    const {requestsPerOwnerSecond} = this.options;
    const count =
      (this.members.length * requestsPerOwnerSecond * STEP_MS) / MS_PER_SECOND;
    for (let index = 0; index < count; index++) {
      const key = this.traffic.drawKey();
      const atMs = nowMs + Math.floor((index * STEP_MS) / count);
      this.policy.addRequest(this.traffic.positions[key] ?? 0, atMs);
    }
  }

  private updateHosts(): void {
    const version = this.policy.getVersion();
    if (version === this.version) return;
    this.version = version;
    for (let key = 0; key < this.hosts.length; key++) {
      const host = this.policy.findHost(this.traffic.positions[key] ?? 0);
      const before = this.hosts[key];
      if (before === host) continue;
      if (before !== undefined) this.movedKeys += 1;
      this.hosts[key] = host;
    }
  }

  private recordImbalance(): void {
    const loads = new Map(this.members.map(member => [member.host, 0]));
    this.traffic.visitKeys((key, share) => {
      const host = this.hosts[key] ?? '';
      loads.set(host, (loads.get(host) ?? 0) + share);
    });
    this.imbalances.push(Math.max(...loads.values()) * this.members.length);
  }
}

function createMembers(first: number, count: number): readonly Member[] {
  return Array.from({length: count}, (_, index) => ({
    host: `h${first + index}`,
    incarnation: 'a',
  }));
}
