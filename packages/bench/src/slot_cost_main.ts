/**
 * Measures what a slot policy costs for each request, in nanoseconds: with a free slot, with a queue
 * that stands, and when refused. `slot_cost_main.js [--requests N]`.
 */
import sade from 'sade';

import {createNodeSystem} from '@dottereldrift/core/system.js';
import type {
  SlotFinish,
  SlotPolicy,
  SlotRequest,
} from '@dottereldrift/limits/types.js';

import {
  MAIN_POLICIES,
  type NamedPolicy,
  POLICIES,
} from './overload_policies.js';

const SLOTS = 9;
const STANDING = 64;
const CALLERS = 50;
const NS_PER_MS = 1e6;
const DEADLINE_MS = 60_000;
const KINDS = [
  {kind: 'read', priority: 7, expectedServiceMs: 4},
  {kind: 'write', priority: 5, expectedServiceMs: 10},
];

sade('slot-cost', true)
  .option('--requests', 'Requests in each measurement', 300_000)
  .action((flags: {readonly requests: number}) => {
    for (const policy of POLICIES) {
      if (MAIN_POLICIES.has(policy.name))
        measureAll(policy, Number(flags.requests));
    }
  })
  .parse(process.argv);

function measureAll(policy: NamedPolicy, requests: number): void {
  const free = measure(policy, requests, 1);
  const standing = measure(policy, requests, SLOTS + STANDING);
  process.stdout.write(
    `${policy.name}: free slot ${free} ns, at least ${STANDING} more than slots ${standing} ns\n`,
  );
}

/** Keeps a number of requests present, and returns the time for each request. */
function measure(
  policy: NamedPolicy,
  requests: number,
  present: number,
): string {
  const slots = policy.create(createNodeSystem(), SLOTS);
  const running: SlotFinish[] = [];
  const startMs = performance.now();
  for (let index = 0; index < requests; index++) {
    slots.requestSlot(createRequest(index, running));
    if (index >= present) running.shift()?.(true);
  }
  const tookMs = performance.now() - startMs;
  endAll(slots, running);
  return ((tookMs * NS_PER_MS) / requests).toFixed(0);
}

function endAll(slots: SlotPolicy, running: SlotFinish[]): void {
  slots.refuseAll('DD3021');
  for (const finish of running) finish(false);
}

function createRequest(index: number, running: SlotFinish[]): SlotRequest {
  const kind = KINDS[index % KINDS.length] as (typeof KINDS)[number];
  return {
    ...kind,
    deadlineAtMs: performance.now() + DEADLINE_MS,
    caller: `caller-${index % CALLERS}`,
    bytes: 100,
    onRun: finish => running.push(finish),
    onRefuse: () => {},
  };
}
