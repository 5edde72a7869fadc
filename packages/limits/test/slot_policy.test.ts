/**
 * Invariants that every slot policy keeps under random sequences of requests.
 */
import test from 'ava';
import fc from 'fast-check';

import type {System} from '@dottereldrift/core/system.js';
import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';

import {ADAPTIVE_OPTIONS, BASELINE_OPTIONS} from '../src/adaptive_options.js';
import {AdaptivePolicy} from '../src/adaptive_policy.js';
import {FifoPolicy} from '../src/fifo_policy.js';
import {createSlotPolicy} from '../src/slot_policies.js';
import type {SlotPolicy} from '../src/types.js';
import {COMMANDS, type DriverBounds, SlotDriver} from './slot_driver.js';

const SEED = 20_261;
const RUNS = 300;
const BOUNDS: DriverBounds = {maxQueued: 8, maxQueuedBytes: 1_000};
const {maxQueuedBytes} = BOUNDS;
const getMaxQueued = () => BOUNDS.maxQueued;

type Create = (system: System) => SlotPolicy;

const POLICIES: Readonly<Record<string, Create>> = {
  fifo: system => new FifoPolicy(system, 1, getMaxQueued),
  adaptive: system =>
    new AdaptivePolicy(
      system,
      1,
      {...ADAPTIVE_OPTIONS, maxQueuedBytes},
      getMaxQueued,
    ),
  plain: system =>
    new AdaptivePolicy(
      system,
      1,
      {...BASELINE_OPTIONS, maxQueuedBytes},
      getMaxQueued,
    ),
  'any wait': system =>
    new AdaptivePolicy(
      system,
      1,
      {
        ...ADAPTIVE_OPTIONS,
        maxQueuedBytes,
        waitMultiple: 0,
        dropMultiple: 0,
      },
      getMaxQueued,
    ),
};

for (const [name, create] of Object.entries(POLICIES)) {
  test(`${name}: each request runs or is refused exactly once, within the slots and queue limits`, t => {
    const isBytesBounded = name !== 'fifo';
    const bounds = isBytesBounded
      ? BOUNDS
      : {...BOUNDS, maxQueuedBytes: Infinity};
    fc.assert(
      fc.property(COMMANDS, commands => {
        const system = new VirtualSystem(() => 0.5);
        const driver = new SlotDriver(system, create(system), bounds);
        const faults = driver.run(commands);
        return faults.length === 0;
      }),
      {seed: SEED, numRuns: RUNS},
    );
    t.pass();
  });
}

for (const name of ['fifo', 'adaptive'] as const) {
  test(`${name}: the queue limit follows the configuration`, t => {
    let maxQueued = 1;
    const system = new VirtualSystem(() => 0.5);
    const bounds = {getMaxQueued: () => maxQueued, maxQueuedBytes};
    const policy = createSlotPolicy(name, system, 1, bounds);
    const sendAll = () => {
      for (let count = 0; count < 4; count++) {
        policy.requestSlot({
          kind: 'read',
          priority: 5,
          expectedServiceMs: 1,
          deadlineAtMs: 1_000,
          caller: 'a',
          bytes: 0,
          onRun: () => {},
          onRefuse: () => {},
        });
      }
    };
    sendAll();
    t.is(policy.getQueued(), 1);
    maxQueued = 3;
    sendAll();
    t.is(policy.getQueued(), 3);
  });
}
