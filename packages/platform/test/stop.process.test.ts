/**
 * Stops of real daemons while callers keep sending on open and new connections until the process is gone. Each
 * request that a stopping daemon reads must get a complete response, and a response that promises that the request
 * was not run must be true. `STOP_SEEDS=FIRST,COUNT` plays other random series of stops than those of CI.
 */
import http from 'node:http';

import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';

import {PlatformFleet} from './platform_fleet.js';
import {listFaults, sendTraffic, SERVICES, type Stop} from './stop_traffic.js';

const MS_PER_SECOND = 1_000;
const WARM_UP_MS = 500;
const ENDED_STATUS = 502;
const OK = 200;
const STOPPING_HOSTS = 2;
/** Seeds that CI plays; each seed that failed is added with its cause. */
const CI_SEEDS = [1, 2, 3];

/** A planned stop of a daemon, which then starts again. */
interface PlannedStop {
  readonly hostIndex: number;
  readonly atMs: number;
  readonly downMs: number;
}

interface Plan {
  readonly graceS: number;
  /** Whether the servers of the stopping hosts work on a request that outlasts the grace period. */
  readonly isLong: boolean;
  readonly stops: readonly PlannedStop[];
}

function waitFor(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** Plays a series of stops; expects no faults and returns what the callers of the long requests were told. */
async function runPlan(
  t: ExecutionContext,
  {graceS, isLong, stops: planned}: Plan,
): Promise<readonly number[]> {
  const graceMs = graceS * MS_PER_SECOND;
  const fleet = new PlatformFleet();
  const agent = new http.Agent({keepAlive: true});
  t.teardown(async () => {
    agent.destroy();
    await fleet.stop();
  });
  await fleet.start(SERVICES, graceS);
  let isSending = true;
  const traffic = sendTraffic(fleet, agent, () => isSending);
  await waitFor(WARM_UP_MS);
  const long = {workMs: 2 * graceMs, deadlineMs: 3 * graceMs};
  const longs = SERVICES.slice(0, isLong ? STOPPING_HOSTS : 0).map(
    (service, index) => fleet.send(index, {...long, service}),
  );
  await waitFor(WARM_UP_MS);
  const stops: Stop[] = [];
  await Promise.all(
    planned.map(async ({hostIndex, atMs, downMs}) => {
      await waitFor(atMs);
      // A second signal to a daemon that is stopping changes nothing.
      if (fleet.signalStopping(hostIndex)) return;
      const signalAtMs = performance.now();
      const stop: Stop = {hostIndex, signalAtMs, exitedAtMs: Infinity};
      stops.push(stop);
      await fleet.stopDaemon(hostIndex, graceMs);
      stop.exitedAtMs = performance.now();
      await waitFor(downMs);
      fleet.restartDaemon(hostIndex);
      await waitFor(WARM_UP_MS);
    }),
  );
  isSending = false;
  await traffic;
  const told = await Promise.all(longs);
  const faults = listFaults(fleet, stops, graceMs);
  if (faults.length > 0) t.log(fleet.readLogs());
  t.deepEqual(faults, []);
  const served = fleet.answers.filter(({status}) => status === OK);
  t.true(served.length > fleet.answers.length / 4);
  return told.map(({status}) => status);
}

for (const graceS of [2, 6, 10]) {
  // Guards against requests that a stopping daemon takes and then breaks off when its process exits.
  test.serial(
    `daemons that stop within ${graceS} s break off no request that they have read`,
    async t => {
      const atMs = (graceS * MS_PER_SECOND) / 3;
      const stops = [
        {hostIndex: 0, atMs: 0, downMs: 0},
        {hostIndex: 1, atMs, downMs: 0},
      ];
      const told = await runPlan(t, {graceS, isLong: true, stops});
      t.deepEqual(told, [ENDED_STATUS, ENDED_STATUS]);
    },
  );
}

const plans = fc.constantFrom(2, 3, 6).chain(graceS =>
  fc.record({
    graceS: fc.constant(graceS),
    isLong: fc.boolean(),
    stops: fc.array(
      fc.record({
        hostIndex: fc.nat(STOPPING_HOSTS - 1),
        atMs: fc.nat(2 * graceS * MS_PER_SECOND),
        downMs: fc.nat(MS_PER_SECOND),
      }),
      {minLength: 2, maxLength: 5},
    ),
  }),
);

function listSeeds(): readonly number[] {
  const chosen = process.env.STOP_SEEDS;
  if (chosen === undefined) return CI_SEEDS;
  const [first = 1, count = 1] = chosen.split(',').map(Number);
  return Array.from({length: count}, (_, index) => first + index);
}

for (const seed of listSeeds()) {
  test.serial(`a random series of stops, seed ${seed}`, async t => {
    const [plan] = fc.sample(plans, {seed, numRuns: 1});
    if (plan === undefined) throw new Error('The seed gives no plan.');
    t.log(JSON.stringify(plan));
    await runPlan(t, plan);
  });
}
