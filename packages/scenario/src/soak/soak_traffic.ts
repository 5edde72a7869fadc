/**
 * Generates the requests of the soak test. Most of them are for a small range of hot keys, so that slices are split,
 * moved and merged while faults are active.
 */
import type {RequestKind, ServiceRules} from '@dottereldrift/manifest/types.js';
import {RANGE_KEY_COUNT} from '@dottereldrift/ownership/key_range.js';
import {AbandonmentSignal} from '@dottereldrift/daemon/abandonment_signal.js';
import type {AnswerSink, Exchange} from '@dottereldrift/daemon/exchange.js';

import type {VirtualClock} from '../virtual_clock.js';
import type {Endpoint, VirtualNetwork} from '../virtual_network.js';
import {SOAK_SERVICE, type SoakHost} from './soak_host.js';

const REQUESTS_PER_SECOND = 60;
const MS_PER_SECOND = 1_000;
const HOT_SHARE = 0.7;
const HOT_KEYS = 200;
const CALLER_TIMEOUT_MS = 2_000;

const READ: RequestKind = {
  name: 'read',
  match: {},
  idempotent: true,
  deadlineMs: 1_000,
  maxAttempts: 2,
  priority: 5,
  expectedServiceMs: 20,
  objective: 0.99,
};

/** Manifest rules of the keyed service under test. */
export const SOAK_RULES: ServiceRules = {
  division: 'byRange',
  fencing: 'checked',
  maxRunMs: 30_000,
  slicesPerServer: 6,
  maxQueued: 64,
  kinds: [READ],
};

/** Manifest rules of a second service without keys. */
export const UNKEYED_RULES: ServiceRules = {
  ...SOAK_RULES,
  division: 'none',
  fencing: 'none',
  slicesPerServer: 0,
};

/** Sends requests with exponentially distributed intervals to random daemons. */
export class SoakTraffic {
  completed = 0;
  sent = 0;
  private firstHotKey = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly network: VirtualNetwork,
    private readonly callers: Endpoint,
    private readonly hosts: readonly SoakHost[],
  ) {}

  /** Sends requests until the given time since the start of the simulation. */
  start(endMs: number): void {
    const meanMs = MS_PER_SECOND / REQUESTS_PER_SECOND;
    const sendNext = () => {
      if (this.clock.getElapsedMs() >= endMs) return;
      void this.sendRequest();
      const delayMs = -Math.log(1 - this.clock.getRandom()) * meanMs;
      this.clock.startTimer(delayMs, sendNext);
    };
    sendNext();
  }

  /** Moves the range of hot keys to a random position. */
  shiftHotKeys(): void {
    const maxFirstHotKey = RANGE_KEY_COUNT - HOT_KEYS;
    this.firstHotKey = Math.floor(this.clock.getRandom() * maxFirstHotKey);
  }

  private async sendRequest(): Promise<void> {
    const key = String(this.drawKey());
    this.sent += 1;
    const index = Math.floor(this.clock.getRandom() * this.hosts.length);
    const daemon = this.hosts[index]?.daemon;
    if (daemon?.getView().getManifest() === undefined) return;
    const serve = () =>
      daemon.serveCaller(answer => this.createExchange(key, answer));
    const answered = await this.network
      .call(this.callers, daemon.endpoint, CALLER_TIMEOUT_MS, serve)
      .catch(() => undefined);
    if (answered?.outcome === 'completed') this.completed += 1;
  }

  private drawKey(): number {
    const isHot = this.clock.getRandom() < HOT_SHARE;
    const offset = this.clock.getRandom();
    return isHot
      ? this.firstHotKey + Math.floor(offset * HOT_KEYS)
      : Math.floor(offset * RANGE_KEY_COUNT);
  }

  private createExchange(key: string, answer: AnswerSink): Exchange {
    const receivedAt = this.clock.getNow();
    return {
      rules: SOAK_RULES,
      kind: READ,
      answer,
      method: 'GET',
      target: {service: SOAK_SERVICE, key, path: '/'},
      headers: {'request-key': key},
      body: {kind: 'none'},
      receivedAt,
      deadlineAtMs: receivedAt.monotonicMs + READ.deadlineMs,
      caller: 'callers',
      idempotencyKey: undefined,
      firstGeneration: undefined,
      firstSentWallMs: receivedAt.wallMs,
      abandonment: new AbandonmentSignal(),
    };
  }
}
