/**
 * Soak runs with fixed seeds: while series of faults are active, no two backend servers hold a key at the same time,
 * and each new owner has a higher fencing token. With one rule disabled, the soak must report violations.
 */
import test from 'ava';

import type {ServerInfo} from '@dottereldrift/membership/types.js';

import type {FaultKind, PlannedFault} from '../src/soak/fault_plan.js';
import {
  runSoak,
  type SoakOptions,
  type SoakResult,
} from '../src/soak/soak_run.js';
import type {VirtualDaemon} from '../src/virtual_daemon.js';

const CI_SEEDS = 12;
const RESTART_KINDS: readonly FaultKind[] = [
  'daemon-killed',
  'hot-keys-change',
  'server-leaves',
];

const CLOCK_KINDS: readonly FaultKind[] = [
  'host-suspended',
  'wall-clock-stepped',
  'hot-keys-change',
];

/** Time within which every key must have a server after the last fault, as for the users' deployments. */
const MAX_UNAVAILABLE_MS = 5_000;

async function countViolations(
  seeds: readonly number[],
  options: Omit<SoakOptions, 'seed'>,
): Promise<number> {
  let count = 0;
  for (const seed of seeds)
    count += (await runSoak({...options, seed})).violations.length;
  return count;
}

test('a restarted daemon does not release keys that its server still holds under an earlier grant', async t => {
  for (const seed of [1_002, 1_007, 1_010, 1_013]) {
    const {violations} = await runSoak({seed, kinds: RESTART_KINDS});
    t.deepEqual(violations, [], `seed ${seed}`);
  }
});

test('keys are served again although a host was lost together with a majority of its witnesses', async t => {
  for (const seed of [3, 500_011, 500_014, 500_024]) {
    const {violations, unavailableMs} = await runSoak({seed});
    t.deepEqual(violations, [], `seed ${seed}`);
    t.true(unavailableMs < MAX_UNAVAILABLE_MS, `${seed}: ${unavailableMs} ms`);
  }
});

test('a coordinator with a stale view of the store does not treat a restarted member as ended', async t => {
  const kinds: readonly FaultKind[] = [
    'store-cut',
    'daemon-killed',
    'hot-keys-change',
  ];
  const {violations} = await runSoak({seed: 30_003, kinds});
  t.deepEqual(violations, []);
});

/** Plans the suspension of a host whose wall clock is set back meanwhile and is not corrected during the run. */
function planSuspension(durationMs: number, stepMs: number): SoakOptions {
  const faults: readonly PlannedFault[] = [
    {atMs: 10_000, kind: 'host-suspended', host: 0, durationMs},
    {
      atMs: 11_000,
      kind: 'wall-clock-stepped',
      host: 0,
      durationMs: 30_000,
      stepMs,
    },
  ];
  return {seed: 1, durationMs: 15_000, faults};
}

test('a resumed host grants nothing under a lease that expired without its clocks showing it', async t => {
  for (const durationMs of [2_200, 2_500, 3_000]) {
    const {violations} = await runSoak(planSuspension(durationMs, -2_000));
    t.deepEqual(violations, [], `${durationMs} ms`);
  }
  const seeds = [52_007];
  for (const seed of seeds) {
    const {violations} = await runSoak({seed, kinds: CLOCK_KINDS});
    t.deepEqual(violations, [], `seed ${seed}`);
  }
});

test('a host whose clock is set back by just as long as it was suspended grants nothing by an old lease', async t => {
  for (const durationMs of [2_500, 3_000]) {
    const {violations} = await runSoak(planSuspension(durationMs, -durationMs));
    t.deepEqual(violations, [], `${durationMs} ms`);
  }
});

test('no two servers hold a key during faults of all kinds', async t => {
  for (let seed = 1; seed <= CI_SEEDS; seed++) {
    const {violations, acquisitionCount, completed} = await runSoak({seed});
    t.deepEqual(violations, [], `seed ${seed}`);
    t.true(acquisitionCount > 0 && completed > 0, `seed ${seed}`);
  }
});

/** A rule to disable, with the fault kinds that then cause violations. */
interface BrokenRule {
  readonly rule: string;
  readonly kinds: readonly FaultKind[];
  readonly onDaemon: (daemon: VirtualDaemon) => void;
}

const BROKEN_RULES: readonly BrokenRule[] = [
  {
    rule: 'a slice is released only when its server confirms it or its grants end',
    kinds: ['hot-keys-change', 'server-leaves'],
    onDaemon: daemon => {
      daemon.getParts().registry.releaseSlices = (_service, refs, stop) => {
        stop(refs);
        return refs;
      };
    },
  },
  {
    rule: 'an unreachable server, or one whose confirmation is lost, keeps its keys until its grants end',
    kinds: ['server-cut-off', 'heartbeat-answers-lost', 'hot-keys-change'],
    onDaemon: daemon => {
      daemon.getParts().registry.releaseSlices = (_service, refs, stop) => {
        stop(refs);
        return refs;
      };
    },
  },
  {
    rule: 'a grant ends with the lease',
    kinds: ['host-cut-off', 'daemon-frozen'],
    onDaemon: daemon => {
      const {sessionManager} = daemon.getParts();
      const getEnd = sessionManager.getEnd.bind(sessionManager);
      sessionManager.getEnd = () => {
        const {monotonicMs, wallMs} = getEnd();
        return {monotonicMs: monotonicMs + 3_000, wallMs: wallMs + 3_000};
      };
    },
  },
  {
    rule: 'a new server incarnation gets new tokens',
    kinds: ['server-killed', 'host-loses-power'],
    onDaemon: daemon => {
      const compareIncarnation = (info: ServerInfo) => info;
      Object.assign(daemon.getParts().registry, {compareIncarnation});
    },
  },
];

for (const {rule, kinds, onDaemon} of BROKEN_RULES) {
  test(`the soak reports violations when a rule is disabled: ${rule}`, async t => {
    const seeds = [1, 2];
    t.true((await countViolations(seeds, {kinds, onDaemon})) > 0);
    t.is(await countViolations(seeds, {kinds}), 0);
  });
}

test('no two servers hold a key during late heartbeats, host replacements and rolling stops beside a service without keys', async t => {
  const kinds: readonly FaultKind[] = [
    'heartbeats-delayed',
    'host-replaced',
    'daemons-rolled',
    'server-killed',
    'hot-keys-change',
  ];
  const {violations, acquisitionCount} = await runSoak({
    seed: 1,
    unkeyedHosts: 3,
    kinds,
  });
  t.deepEqual(violations, []);
  t.true(acquisitionCount > 0);
});

/** Kinds that are drawn beside returns of the store, and how many seeds of each run in CI. */
const RESTORED_SERIES: ReadonlyArray<{
  readonly seeds: readonly number[];
  readonly kinds: readonly FaultKind[];
}> = [
  {seeds: [1, 2, 3], kinds: []},
  {seeds: [1_000, 1_001], kinds: ['host-loses-power', 'hot-keys-change']},
  {seeds: [1_100], kinds: ['daemons-rolled']},
  {seeds: [1_200], kinds: ['store-late', 'hot-keys-change', 'daemon-killed']},
  {seeds: [1_300], kinds: ['daemon-frozen', 'server-leaves']},
  {seeds: [1_400], kinds: ['all-lose-power']},
  {
    seeds: [1_500],
    kinds: ['store-refuses-hosts', 'store-cut', 'daemon-killed'],
  },
];

for (const {seeds, kinds} of RESTORED_SERIES) {
  const beside = kinds.length === 0 ? 'alone' : `beside ${kinds.join(', ')}`;
  // Both tests read the same runs.
  let results: Promise<readonly SoakResult[]> | undefined;
  const getResults = () => (results ??= runRestored(seeds, kinds));
  test(`no two servers hold a key after the store returned to older copies: ${beside}`, async t => {
    for (const {seed, violations} of await getResults())
      t.deepEqual(violations, [], `seed ${seed}`);
  });
  test(`each key has a server in time after the store returned to older copies: ${beside}`, async t => {
    for (const {seed, unavailableMs} of await getResults())
      t.true(
        unavailableMs < MAX_UNAVAILABLE_MS,
        `${seed}: ${unavailableMs} ms`,
      );
  });
}

async function runRestored(
  seeds: readonly number[],
  kinds: readonly FaultKind[],
): Promise<readonly SoakResult[]> {
  const results: SoakResult[] = [];
  for (const seed of seeds)
    results.push(await runSoak({seed, kinds: ['store-restored', ...kinds]}));
  return results;
}

test('keys keep their servers after the store returned to an older copy, once, twice in a row and again later', async t => {
  for (const copyAgeMs of [500, 3_000, 9_000]) {
    const faults: readonly PlannedFault[] = [
      {
        atMs: 9_000,
        kind: 'store-restored',
        host: 0,
        durationMs: 1_000,
        copyAgeMs,
      },
      {
        atMs: 10_300,
        kind: 'store-restored',
        host: 0,
        durationMs: 200,
        copyAgeMs,
      },
      {
        atMs: 15_000,
        kind: 'store-restored',
        host: 0,
        durationMs: 20,
        copyAgeMs,
      },
    ];
    // The time without a server counts from the end of a run.
    for (const durationMs of [10_000, 10_500, 15_020]) {
      const {violations, unavailableMs} = await runSoak({
        seed: 1,
        durationMs,
        // A slice that moves because of its load has no server until the next heartbeat.
        hasTraffic: false,
        faults: faults.filter(({atMs}) => atMs < durationMs),
      });
      const text = `a copy of ${copyAgeMs} ms before, faults end at ${durationMs} ms`;
      t.deepEqual(violations, [], text);
      t.is(unavailableMs, 0, text);
    }
  }
});

test('the soak reports violations when a rule is disabled: a restored store starts a new era', async t => {
  const runs: ReadonlyArray<readonly [number, readonly FaultKind[]]> = [
    [1, ['store-restored', 'host-loses-power', 'hot-keys-change']],
    [1_400, ['store-restored', 'all-lose-power']],
  ];
  for (const [seed, kinds] of runs) {
    const text = `seed ${seed}`;
    t.true((await countViolations([seed], {kinds, hasEras: false})) > 0, text);
    t.is(await countViolations([seed], {kinds}), 0, text);
  }
});
