/**
 * Measures the cost of a slot policy per request, in nanoseconds: with a free slot, and with more
 * concurrent requests than slots. `slot_cost_main.js [--requests N]`.
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
const EXCESS_REQUESTS = 64;
const CALLER_COUNT = 50;
const NS_PER_MS = 1e6;
const DEADLINE_MS = 60_000;
const KINDS = [
  {kind: 'read', priority: 7, expectedServiceMs: 4},
  {kind: 'write', priority: 5, expectedServiceMs: 10},
];

sade('slot-cost', true)
  .option('--requests', 'Number of requests in each measurement', 300_000)
  .action((flags: {readonly requests: number}) => {
    for (const policy of POLICIES) {
      if (MAIN_POLICIES.has(policy.name))
        measurePolicy(policy, Number(flags.requests));
    }
  })
  .parse(process.argv);

function measurePolicy(policy: NamedPolicy, requests: number): void {
  const free = measurePerRequestNs(policy, requests, 1);
  const queued = measurePerRequestNs(policy, requests, SLOTS + EXCESS_REQUESTS);
  process.stdout.write(
    `${policy.name}: free slot ${free} ns, at least ${EXCESS_REQUESTS} more than slots ${queued} ns\n`,
  );
}

/** Measures the mean time per request in nanoseconds, with a constant number of requests outstanding. */
function measurePerRequestNs(
  policy: NamedPolicy,
  requests: number,
  concurrency: number,
): string {
  const slots = policy.create(createNodeSystem(), SLOTS);
  const running: SlotFinish[] = [];
  const startMs = performance.now();
  for (let index = 0; index < requests; index++) {
    slots.requestSlot(createRequest(index, running));
    if (index >= concurrency) running.shift()?.(true);
  }
  const elapsedMs = performance.now() - startMs;
  endAll(slots, running);
  return ((elapsedMs * NS_PER_MS) / requests).toFixed(0);
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
    caller: `caller-${index % CALLER_COUNT}`,
    bytes: 100,
    onRun: finish => running.push(finish),
    onRefuse: () => {},
  };
}
