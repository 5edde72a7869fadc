/**
 * Chooses among the hosts that serve a service that is not divided by key. It rests on what this daemon
 * has seen itself: its requests under way, latency, refusals and failures. Two hosts are drawn and the
 * better one is taken, so that daemons with the same news do not all choose the same host.
 */
import type {System} from '@dottereldrift/core/system.js';

import {computeWeight, HostRecord} from './host_record.js';

/** A host that serves a service. */
export interface ServingHost {
  readonly host: string;
  /** Slots that its server announced. */
  readonly slots: number;
  /**
   * Times by which its cost counts more than that of a near host; 1 or absent for hosts that are as
   * good. Bytes between data centres make far hosts dear.
   */
  readonly distance?: number;
}

/**
 * How an attempt ended: with an answer, a refusal for load, a failure, with a caller that left before, or in a way
 * that tells nothing.
 */
export type AttemptEnd =
  'answered' | 'refused' | 'failed' | 'abandoned' | 'neutral';

/** Weight of one answer in the usual latency of a service: it follows some fifty answers. */
const USUAL_WEIGHT = 0.02;

const NO_HOSTS: ReadonlySet<string> = new Set();

/** Part of the hosts that may be left out for failures. */
const MAX_EJECTED_SHARE = 0.5;

/** Choice among the hosts of one service. */
export class HostChoice {
  private readonly records = new Map<string, HostRecord>();
  /** Decayed latency over all hosts, in milliseconds. */
  private usualMs = 0;
  private usualSeenAtMs = -Infinity;

  constructor(private readonly system: System) {}

  /** Chooses a host; those of `avoided` are taken only when there is no other. */
  choose(
    hosts: readonly ServingHost[],
    avoided: ReadonlySet<string> = NO_HOSTS,
  ): string | undefined {
    const nowMs = this.system.getNow().monotonicMs;
    this.addRecords(hosts, nowMs);
    const others =
      avoided.size === 0 ? hosts : hosts.filter(({host}) => !avoided.has(host));
    const allowed = this.filterEjected(others, hosts.length, nowMs);
    const [first] = [allowed, others, hosts].filter(({length}) => length > 0);
    return this.drawBetter(first ?? [], nowMs);
  }

  /** Takes note of an attempt; the returned function ends it, once. */
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
    const forgotten = 1 - computeWeight(this.usualSeenAtMs, nowMs);
    const weight = Math.max(USUAL_WEIGHT, forgotten);
    this.usualMs += (latencyMs - this.usualMs) * weight;
    this.usualSeenAtMs = nowMs;
  }

  /** Drops records of hosts that are gone and idle, and begins those of new ones. */
  private addRecords(hosts: readonly ServingHost[], nowMs: number): void {
    const isFirst = this.records.size === 0;
    for (const {host} of hosts) {
      if (this.records.has(host)) continue;
      const record = new HostRecord(nowMs);
      if (isFirst) record.setWarm();
      this.records.set(host, record);
    }
    if (this.records.size === hosts.length) return;
    const present = new Set(hosts.map(({host}) => host));
    for (const [host, record] of this.records) {
      if (!present.has(host) && record.isIdle()) this.records.delete(host);
    }
  }

  /** Leaves out ejected hosts, the longest ejected first, down to the floor. */
  private filterEjected(
    hosts: readonly ServingHost[],
    total: number,
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
    const most = Math.floor(total * MAX_EJECTED_SHARE);
    const left = new Set(ejected.slice(0, most));
    return hosts.filter(host => !left.has(host));
  }

  private drawBetter(
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
    const usualMs = this.computeUsualMs(nowMs);
    const isSecond =
      this.computeCost(second, usualMs, nowMs) <
      this.computeCost(first, usualMs, nowMs);
    return (isSecond ? second : first).host;
  }

  /**
   * Returns the host of least cost. Distances differ from daemon to daemon, so that daemons with the
   * same news do not all choose the same host.
   */
  private findCheapest(
    hosts: readonly ServingHost[],
    nowMs: number,
  ): string | undefined {
    let best: string | undefined;
    let bestCost = Infinity;
    const usualMs = this.computeUsualMs(nowMs);
    const offset = this.drawIndex(hosts.length);
    for (let index = 0; index < hosts.length; index++) {
      const host = hosts[(index + offset) % hosts.length];
      if (host === undefined) continue;
      const distance = host.distance ?? 1;
      const cost = this.computeCost(host, usualMs, nowMs) * distance;
      if (cost >= bestCost) continue;
      best = host.host;
      bestCost = cost;
    }
    return best;
  }

  private drawIndex(length: number): number {
    return Math.floor(this.system.getRandom() * length);
  }

  /** Returns the usual latency of the service; of an old one less is left. */
  private computeUsualMs(nowMs: number): number {
    return this.usualMs * computeWeight(this.usualSeenAtMs, nowMs);
  }

  private computeCost(
    {host, slots}: ServingHost,
    usualMs: number,
    nowMs: number,
  ): number {
    const record = this.getRecord(host, nowMs);
    return record.computeCost(nowMs, usualMs) / Math.max(1, slots);
  }

  private getRecord(host: string, nowMs: number): HostRecord {
    const present = this.records.get(host);
    if (present !== undefined) return present;
    const record = new HostRecord(nowMs);
    this.records.set(host, record);
    return record;
  }
}
