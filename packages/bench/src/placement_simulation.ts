/**
 * Runs a placement under seeded traffic in simulated time, while owners join, leave and are lost, and
 * measures imbalance and churn.
 */
import type {Member} from '@dottereldrift/core/types.js';

import type {PlacementPolicy} from './placement_policies.js';
import {KeyTraffic} from './placement_traffic.js';

/** One simulated run. */
export interface SimulationOptions {
  readonly owners: number;
  readonly keys: number;
  /** Exponent of the Zipf distribution. */
  readonly exponent: number;
  readonly requestsPerOwnerSecond: number;
  readonly seed: number;
}

/** What a run measured. */
export interface SimulationResult {
  readonly policy: string;
  readonly owners: number;
  /** Highest load of an owner over the mean: its mean over time. */
  readonly meanImbalance: number;
  /** The same: the highest of all times after the warm-up. */
  readonly worstImbalance: number;
  /** Imbalance that no placement gets below, for the hottest key has one owner. */
  readonly leastImbalance: number;
  /** Keys that changed their owner, as a share of all keys. */
  readonly movedShare: number;
  /** The share that the changes of the members needed. */
  readonly neededShare: number;
  readonly moves: number;
  readonly slices: number;
  readonly longestPlanMs: number;
}

const STEP_MS = 2_000;
const MS_PER_SECOND = 1_000;
const SAMPLE_STEPS = 5;
const WARM_UP_MS = 60_000;
const HOT_CHANGE_MS = 120_000;
const JOIN_AT_MS = 180_000;
const LOSS_AT_MS = 360_000;
const LEAVE_AT_MS = 540_000;
/** Duration of a run in simulated time. */
export const RUN_MS = 720_000;
/** One owner in so many joins, is lost or leaves at a time. */
const OWNERS_PER_CHANGE = 10;

/** Runs one placement. */
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
      if (nowMs > 0 && nowMs % HOT_CHANGE_MS === 0) traffic.moveHottest();
      this.applyMembership(nowMs);
      this.sendRequests(nowMs);
      policy.plan(nowMs + STEP_MS);
      this.updateHosts();
      const isSample = (nowMs / STEP_MS) % SAMPLE_STEPS === 0;
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

  private applyMembership(nowMs: number): void {
    const {owners} = this.options;
    const count = Math.max(1, Math.round(owners / OWNERS_PER_CHANGE));
    if (nowMs === JOIN_AT_MS) {
      this.members = [...this.members, ...createMembers(owners, count)];
      this.neededShare += count / this.members.length;
    } else if (nowMs === LOSS_AT_MS || nowMs === LEAVE_AT_MS) {
      const gone = new Set(
        this.members.slice(0, count).map(member => member.host),
      );
      this.members = this.members.slice(count);
      const keys = this.hosts.filter(host => gone.has(host ?? '')).length;
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
