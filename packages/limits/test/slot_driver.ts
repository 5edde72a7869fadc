/**
 * Runs random commands against a slot policy in virtual time and collects violated invariants.
 */
import fc from 'fast-check';

import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';

import type {SlotFinish, SlotPolicy} from '../src/types.js';

/** One step of a random sequence. */
export type Command =
  | {
      readonly kind: 'request';
      readonly name: number;
      readonly caller: number;
      readonly bytes: number;
      readonly deadlineMs: number;
      readonly isNested: boolean;
    }
  | {readonly kind: 'withdraw'; readonly index: number}
  | {readonly kind: 'finish'; readonly index: number}
  | {readonly kind: 'wait'; readonly ms: number}
  | {readonly kind: 'slots'; readonly slots: number}
  | {readonly kind: 'refuseAll'};

type State = 'waiting' | 'running' | 'refused' | 'withdrawn' | 'finished';

interface TrackedRequest {
  state: State;
  readonly bytes: number;
  withdraw: () => void;
  finish: SlotFinish;
}

/** Queue limits of the policy under test. */
export interface DriverBounds {
  readonly maxQueued: number;
  readonly maxQueuedBytes: number;
}

const KIND_SERVICE_TIMES_MS = [1, 4, 200];
const DRAIN_STEPS = 2_000;
const DRAIN_STEP_MS = 5;

const commandArbitrary = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('request' as const),
      name: fc.nat(KIND_SERVICE_TIMES_MS.length - 1),
      caller: fc.nat(3),
      bytes: fc.nat(400),
      deadlineMs: fc.integer({min: -1, max: 600}),
      isNested: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('withdraw' as const),
      index: fc.nat(),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('finish' as const),
      index: fc.nat(),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.integer({min: 0, max: 40}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('slots' as const),
      slots: fc.integer({min: 0, max: 6}),
    }),
  },
  {weight: 1, arbitrary: fc.record({kind: fc.constant('refuseAll' as const)})},
);

/** Random sequences of commands. */
export const COMMANDS: fc.Arbitrary<readonly Command[]> = fc.array(
  commandArbitrary,
  {
    maxLength: 200,
  },
);

/** Tracks the state of every request and compares it with what the policy reports. */
export class SlotDriver {
  readonly violations: string[] = [];
  private readonly tracked: TrackedRequest[] = [];
  private slots = 3;

  constructor(
    private readonly system: VirtualSystem,
    private readonly policy: SlotPolicy,
    private readonly bounds: DriverBounds,
  ) {
    policy.setSlots(this.slots);
  }

  /** Applies the commands, drains the policy, and returns the violated invariants. */
  run(commands: readonly Command[]): readonly string[] {
    for (const command of commands) {
      this.apply(command);
      this.checkCounts();
    }
    this.drain();
    return this.violations;
  }

  private apply(command: Command): void {
    switch (command.kind) {
      case 'request':
        this.sendRequest(command);
        break;
      case 'withdraw':
        this.withdrawRequest(command.index);
        break;
      case 'finish':
        this.finishRequest(command.index);
        break;
      case 'wait':
        this.system.runUntil(this.system.getNow().monotonicMs + command.ms);
        break;
      case 'slots':
        this.slots = command.slots;
        this.policy.setSlots(command.slots);
        break;
      case 'refuseAll':
        this.policy.refuseAll('DD3024');
        this.expect(this.count('waiting') === 0, 'refuseAll left some waiting');
        break;
    }
  }

  private sendRequest(command: Extract<Command, {kind: 'request'}>): void {
    const tracked: TrackedRequest = {
      state: 'waiting',
      bytes: command.bytes,
      withdraw: () => {},
      finish: () => {},
    };
    this.tracked.push(tracked);
    const nowMs = this.system.getNow().monotonicMs;
    tracked.withdraw = this.policy.requestSlot({
      kind: `kind-${command.name}`,
      priority: command.name * 3,
      expectedServiceMs: KIND_SERVICE_TIMES_MS[command.name] ?? 1,
      deadlineAtMs: nowMs + command.deadlineMs,
      caller: `caller-${command.caller}`,
      bytes: command.bytes,
      isNested: command.isNested,
      onRun: finish => {
        this.expect(tracked.state === 'waiting', `run while ${tracked.state}`);
        this.expect(this.count('running') < this.slots, 'no slot was free');
        tracked.state = 'running';
        tracked.finish = finish;
      },
      onRefuse: () => {
        this.expect(
          tracked.state === 'waiting',
          `refused while ${tracked.state}`,
        );
        tracked.state = 'refused';
      },
    });
  }

  private withdrawRequest(index: number): void {
    const tracked = this.tracked[index % Math.max(1, this.tracked.length)];
    if (tracked === undefined) return;
    tracked.withdraw();
    if (tracked.state === 'waiting') tracked.state = 'withdrawn';
  }

  /** Finishes one running request, twice to check that the second call has no effect. */
  private finishRequest(index: number): void {
    const running = this.tracked.filter(({state}) => state === 'running');
    const tracked = running[index % Math.max(1, running.length)];
    if (tracked === undefined) return;
    tracked.state = 'finished';
    tracked.finish(true);
    tracked.finish(true);
  }

  private drain(): void {
    this.slots = Math.max(1, this.slots);
    this.policy.setSlots(this.slots);
    for (let step = 0; step < DRAIN_STEPS; step++) {
      this.finishRequest(step);
      this.system.runUntil(this.system.getNow().monotonicMs + DRAIN_STEP_MS);
      this.checkCounts();
    }
    this.expect(this.count('waiting') === 0, 'a request was never served');
    this.expect(this.count('running') === 0, 'a slot was never freed');
  }

  private checkCounts(): void {
    const waiting = this.count('waiting');
    const bytes = this.tracked
      .filter(({state}) => state === 'waiting')
      .reduce((sum, one) => sum + one.bytes, 0);
    const {maxQueued, maxQueuedBytes} = this.bounds;
    this.expect(this.policy.getQueued() === waiting, 'queued is miscounted');
    this.expect(
      this.policy.getRunning() === this.count('running'),
      'running is miscounted',
    );
    this.expect(waiting <= maxQueued, 'too many requests wait');
    this.expect(bytes <= maxQueuedBytes, 'too many bytes wait');
  }

  private count(state: State): number {
    return this.tracked.filter(one => one.state === state).length;
  }

  private expect(isMet: boolean, violation: string): void {
    if (!isMet) this.violations.push(violation);
  }
}
