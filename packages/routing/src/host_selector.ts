/**
 * Load balancing among the hosts of a service that is not sharded by key. It uses only what this daemon
 * observes itself: its requests in flight, latency, refusals and failures. With the power of two random
 * choices, daemons with the same observations do not all choose the same host.
 */
import type {System} from '@dottereldrift/core/system.js';

import {computeDecay, HostRecord} from './host_record.js';

/** A host that serves a service. */
export interface ServingHost {
  readonly host: string;
  /** Number of slots that its server announced. */
  readonly slots: number;
  /**
   * Factor by which the cost of the host is multiplied; 1 if absent. It is above 1 for hosts in other
   * data centres, because of the cost of the traffic.
   */
  readonly distance?: number;
}

/**
 * What an attempt says about its host: it answered, refused for load, or failed; `abandoned` if the
 * caller disconnected first; `neutral` if the outcome says nothing about the host.
 */
export type AttemptEnd =
  'answered' | 'refused' | 'failed' | 'abandoned' | 'neutral';

/** Weight of one answer in the average latency of a service; averages over about 50 answers. */
const AVERAGE_LATENCY_WEIGHT = 0.02;

const NO_HOSTS: ReadonlySet<string> = new Set();

/** Largest share of the hosts that may be ejected for failures. */
const MAX_EJECTED_SHARE = 0.5;

/** Load balancer for the hosts of one service. */
export class HostSelector {
  private readonly records = new Map<string, HostRecord>();
  /** Exponentially decayed average latency over all hosts. */
  private averageLatencyMs = 0;
  private averageUpdatedAtMs = -Infinity;

  constructor(private readonly system: System) {}

  /** Chooses a host; those in `avoided` only if there is no other. */
  choose(
    hosts: readonly ServingHost[],
    avoidedHosts: ReadonlySet<string> = NO_HOSTS,
  ): string | undefined {
    const nowMs = this.system.getNow().monotonicMs;
    this.setHosts(hosts, nowMs);
    const notAvoided =
      avoidedHosts.size === 0
        ? hosts
        : hosts.filter(({host}) => !avoidedHosts.has(host));
    const candidates = this.filterEjected(notAvoided, hosts.length, nowMs);
    const [first] = [candidates, notAvoided, hosts].filter(
      ({length}) => length > 0,
    );
    return this.chooseByCost(first ?? [], nowMs);
  }

  /** Records the start of an attempt. The returned function records its end; later calls do nothing. */
  startAttempt(host: string): (end: AttemptEnd) => void {
    const startedAtMs = this.system.getNow().monotonicMs;
    const record = this.getRecord(host, startedAtMs);
    record.startAttempt();
    let isOver = false;
    return end => {
      if (isOver) return;
      isOver = true;
      const nowMs = this.system.getNow().monotonicMs;
      const random = this.system.getRandom();
      const latencyMs = nowMs - startedAtMs;
      record.finishAttempt(end, latencyMs, nowMs, random);
      if (end === 'answered') this.observeLatency(latencyMs, nowMs);
    };
  }

  private observeLatency(latencyMs: number, nowMs: number): void {
    const decayedShare = 1 - computeDecay(this.averageUpdatedAtMs, nowMs);
    const weight = Math.max(AVERAGE_LATENCY_WEIGHT, decayedShare);
    this.averageLatencyMs += (latencyMs - this.averageLatencyMs) * weight;
    this.averageUpdatedAtMs = nowMs;
  }

  /** Creates records for new hosts, and deletes idle records of hosts that no longer exist. */
  private setHosts(hosts: readonly ServingHost[], nowMs: number): void {
    const isInitial = this.records.size === 0;
    for (const {host} of hosts) {
      if (this.records.has(host)) continue;
      const record = new HostRecord(nowMs);
      if (isInitial) record.setWarmedUp();
      this.records.set(host, record);
    }
    if (this.records.size === hosts.length) return;
    const names = new Set(hosts.map(({host}) => host));
    for (const [host, record] of this.records) {
      if (!names.has(host) && record.isIdle()) this.records.delete(host);
    }
  }

  /** Excludes ejected hosts up to the maximum share, those with the latest end of ejection first. */
  private filterEjected(
    hosts: readonly ServingHost[],
    hostCount: number,
    nowMs: number,
  ): readonly ServingHost[] {
    const ejected = hosts
      .filter(({host}) => this.getRecord(host, nowMs).isEjected(nowMs))
      .sort(
        (a, b) =>
          this.getRecord(b.host, nowMs).getEjectedUntilMs() -
          this.getRecord(a.host, nowMs).getEjectedUntilMs(),
      );
    if (ejected.length === 0) return hosts;
    const maxEjected = Math.floor(hostCount * MAX_EJECTED_SHARE);
    const excluded = new Set(ejected.slice(0, maxEjected));
    return hosts.filter(host => !excluded.has(host));
  }

  /** Chooses the cheaper of two random hosts, or the cheapest of all if any cost factor is not 1. */
  private chooseByCost(
    hosts: readonly ServingHost[],
    nowMs: number,
  ): string | undefined {
    if (hosts.some(({distance = 1}) => distance !== 1))
      return this.findCheapest(hosts, nowMs);
    const index = this.drawIndex(hosts.length);
    const first = hosts[index];
    if (first === undefined || hosts.length === 1) return first?.host;
    const step = 1 + this.drawIndex(hosts.length - 1);
    const second = hosts[(index + step) % hosts.length] ?? first;
    const averageLatencyMs = this.computeAverageLatencyMs(nowMs);
    const isSecondCheaper =
      this.computeCost(second, averageLatencyMs, nowMs) <
      this.computeCost(first, averageLatencyMs, nowMs);
    return (isSecondCheaper ? second : first).host;
  }

  /**
   * Returns the host of least cost. Cost factors differ between daemons, so that daemons with the same
   * observations do not all choose the same host.
   */
  private findCheapest(
    hosts: readonly ServingHost[],
    nowMs: number,
  ): string | undefined {
    let best: string | undefined;
    let bestCost = Infinity;
    const averageLatencyMs = this.computeAverageLatencyMs(nowMs);
    const offset = this.drawIndex(hosts.length);
    for (let index = 0; index < hosts.length; index++) {
      const host = hosts[(index + offset) % hosts.length];
      if (host === undefined) continue;
      const costFactor = host.distance ?? 1;
      const cost = this.computeCost(host, averageLatencyMs, nowMs) * costFactor;
      if (cost >= bestCost) continue;
      best = host.host;
      bestCost = cost;
    }
    return best;
  }

  private drawIndex(length: number): number {
    return Math.floor(this.system.getRandom() * length);
  }

  /** Returns the average latency of the service, decayed by the time since the last answer. */
  private computeAverageLatencyMs(nowMs: number): number {
    return this.averageLatencyMs * computeDecay(this.averageUpdatedAtMs, nowMs);
  }

  private computeCost(
    {host, slots}: ServingHost,
    averageLatencyMs: number,
    nowMs: number,
  ): number {
    const record = this.getRecord(host, nowMs);
    return record.computeCost(nowMs, averageLatencyMs) / Math.max(1, slots);
  }

  private getRecord(host: string, nowMs: number): HostRecord {
    const existing = this.records.get(host);
    if (existing !== undefined) return existing;
    const record = new HostRecord(nowMs);
    this.records.set(host, record);
    return record;
  }
}
