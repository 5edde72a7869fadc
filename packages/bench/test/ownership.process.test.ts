/**
 * Failures, restarts and shutdowns of owners on real processes under load. The servers' run records must
 * show no violation.
 */
import test, {type ExecutionContext} from 'ava';

import {type Deployment, findDeployment} from '../src/deployments.js';
import type {RunRecord} from '@dottereldrift/standins/backend_server.js';

import {Fleet, type FleetHost} from '../src/fleet.js';
import {findViolations} from '../src/violations.js';
import {LoadGenerator} from '../src/load.js';
import {runInDirectory} from '../src/run_directory.js';

const REQUESTS_PER_SECOND = 80;
const KEYS = 200;
const LOAD_MS = 8_000;

function createSmallDeployment(): Deployment {
  const full = findDeployment('bocadito');
  if (full === undefined)
    throw new Error('The deployment bocadito is not defined.');
  const services = full.services.filter(plan => plan.service === 'menu');
  const traffic = full.traffic.filter(plan => plan.service === 'menu');
  const {menu} = full.manifest.services;
  if (menu === undefined) throw new Error('The service menu is not defined.');
  const rules = {...menu, slicesPerServer: 16};
  return {...full, services, traffic, manifest: {services: {menu: rules}}};
}

/** Runs a load while a fault is injected and repaired; expects no violations and some completed requests. */
async function expectNoViolations(
  t: ExecutionContext,
  injectFault: (fleet: Fleet, victim: FleetHost) => Promise<void>,
): Promise<void> {
  await runInDirectory('ownership', async directory => {
    const deployment = createSmallDeployment();
    const fleet = new Fleet({deployment, directory, stragglerShare: 0.02});
    try {
      await fleet.start();
      const victim = fleet.getHost('menu-2');
      const generator = new LoadGenerator({
        deployment,
        targets: fleet.hosts
          .filter(host => host !== victim)
          .map(host => fleet.getCallerUrl(host)),
        requestsPerSecond: REQUESTS_PER_SECOND,
        durationMs: LOAD_MS,
        seed: 11,
        keys: KEYS,
      });
      const [results] = await Promise.all([
        generator.run(),
        injectFault(fleet, victim),
      ]);
      const records = fleet.readRecords();
      const isKept = t.deepEqual(findViolations(results, records), []);
      const hasServed = results.some(result => result.outcome === 'completed');
      return t.true(hasServed) && isKept;
    } catch (error) {
      t.log(fleet.getExitedOutputs().join('\n'));
      throw error;
    } finally {
      await fleet.stop();
    }
  });
}

/** Kills the daemon of a host once its server has run at least 20 requests. */
async function killAfterRuns(fleet: Fleet, victim: FleetHost): Promise<void> {
  await fleet.waitUntil(() => {
    const records = fleet.readRecords();
    const runs = records.filter(record => record.host === victim.name);
    return Promise.resolve(runs.length >= 20);
  });
  await fleet.getDaemon(victim).kill();
}

/** Returns the time between the last run of a key on a lost host and its next run on another host. */
function listTakeoverGapsMs(
  records: readonly RunRecord[],
  victim: FleetHost,
): readonly number[] {
  const last = new Map<string, RunRecord>();
  const gaps: number[] = [];
  for (const record of records) {
    const previous = last.get(record.key);
    if (previous?.host === victim.name && record.host !== victim.name)
      gaps.push(record.startedAtMs - previous.startedAtMs);
    last.set(record.key, record);
  }
  return gaps;
}

/** Waits until the other hosts own every slice. */
async function waitForTakeover(fleet: Fleet, victim: FleetHost): Promise<void> {
  const others = fleet.hosts.filter(host => host !== victim);
  await fleet.waitUntil(async () => {
    const slices = await countSlices(fleet, others[0] ?? victim);
    const statuses = await Promise.all(
      others.map(host => fleet.getStatus(host)),
    );
    const owned = statuses.flatMap(status =>
      status.services.map(service => service.ownedSlices),
    );
    return owned.reduce((sum, count) => sum + count, 0) === slices;
  });
}

/** Returns the current number of slices, which changes as hot slices are split and cold ones merged. */
async function countSlices(fleet: Fleet, host: FleetHost): Promise<number> {
  const response = await fetch(`${fleet.getCallerUrl(host)}/routes/menu`);
  const {slices} = (await response.json()) as {readonly slices: unknown[]};
  return slices.length;
}

/** Waits until a host owns slices again. */
async function waitForOwnership(
  fleet: Fleet,
  victim: FleetHost,
): Promise<void> {
  await fleet.waitUntil(async () => {
    const {services} = await fleet.getStatus(victim);
    return services.some(service => service.ownedSlices > 0);
  });
}

test.serial('a host is killed and restarts', async t => {
  await expectNoViolations(t, async (fleet, victim) => {
    await Promise.all([
      fleet.getDaemon(victim).kill(),
      fleet.getServer(victim).kill(),
    ]);
    await waitForTakeover(fleet, victim);
    await fleet.startDaemon(victim);
    await fleet.startServer(victim);
    await waitForOwnership(fleet, victim);
  });
});

test.serial(
  'a daemon is killed and restarts while its server keeps running',
  async t => {
    await expectNoViolations(t, async (fleet, victim) => {
      await fleet.getDaemon(victim).kill();
      await waitForTakeover(fleet, victim);
      await fleet.startDaemon(victim);
      await waitForOwnership(fleet, victim);
    });
  },
);

test.serial(
  'a server is killed and restarts while its daemon keeps running',
  async t => {
    await expectNoViolations(t, async (fleet, victim) => {
      await fleet.getServer(victim).kill();
      await waitForTakeover(fleet, victim);
      await fleet.startServer(victim);
      await waitForOwnership(fleet, victim);
    });
  },
);

test.serial(
  'a daemon is suspended, loses its slices to a takeover and resumes',
  async t => {
    await expectNoViolations(t, async (fleet, victim) => {
      fleet.getDaemon(victim).signal('SIGSTOP');
      await waitForTakeover(fleet, victim);
      fleet.getDaemon(victim).signal('SIGCONT');
      await waitForOwnership(fleet, victim);
    });
  },
);

test.serial('a server is suspended, loses its slices and resumes', async t => {
  await expectNoViolations(t, async (fleet, victim) => {
    fleet.getServer(victim).signal('SIGSTOP');
    await waitForTakeover(fleet, victim);
    fleet.getServer(victim).signal('SIGCONT');
    await waitForOwnership(fleet, victim);
  });
});

test.serial('a host is killed during a store outage', async t => {
  await expectNoViolations(t, async (fleet, victim) => {
    await fleet.setStoreFaults({isOut: true});
    await Promise.all([
      fleet.getDaemon(victim).kill(),
      fleet.getServer(victim).kill(),
    ]);
    await fleet.waitUntil(async () => {
      const others = fleet.hosts.filter(host => host !== victim);
      const statuses = await Promise.all(
        others.map(host => fleet.getStatus(host)),
      );
      return statuses.every(status => status.isLeaseHeld);
    });
    await fleet.setStoreFaults({isOut: false});
    await waitForTakeover(fleet, victim);
  });
});

test.serial('a daemon shuts down while requests are under way', async t => {
  await expectNoViolations(t, async (fleet, victim) => {
    fleet.getDaemon(victim).signal('SIGTERM');
    t.is(await fleet.getDaemon(victim).waitForExit(), 0);
    await waitForTakeover(fleet, victim);
  });
});

test.serial('a server drains while requests are in flight', async t => {
  await expectNoViolations(t, async (fleet, victim) => {
    fleet.getServer(victim).signal('SIGTERM');
    t.is(await fleet.getServer(victim).waitForExit(), 0);
    await waitForTakeover(fleet, victim);
  });
});

test.serial(
  'if servers do not check tokens, a new owner waits for the longest possible run to end',
  async t => {
    const deployment = createSmallDeployment();
    const {menu} = deployment.manifest.services;
    if (menu === undefined) throw new Error('The service menu is not defined.');
    const maxRunMs = 3_000;
    const rules = {...menu, fencing: 'none' as const, maxRunMs};
    await runInDirectory('ownership', async directory => {
      const fleet = new Fleet({
        deployment: {...deployment, manifest: {services: {menu: rules}}},
        directory,
        stragglerShare: 0,
        isFencing: false,
      });
      try {
        await fleet.start();
        const victim = fleet.getHost('menu-2');
        const generator = new LoadGenerator({
          deployment,
          targets: fleet.hosts
            .filter(host => host !== victim)
            .map(host => fleet.getCallerUrl(host)),
          requestsPerSecond: REQUESTS_PER_SECOND,
          durationMs: LOAD_MS + maxRunMs,
          seed: 12,
          keys: KEYS,
        });
        const [results] = await Promise.all([
          generator.run(),
          killAfterRuns(fleet, victim),
        ]);
        const records = fleet.readRecords();
        const isKept = t.deepEqual(findViolations(results, records), []);
        const gaps = listTakeoverGapsMs(records, victim);
        const hasGaps = t.true(gaps.length > 0);
        return (
          t.true(gaps.every(gapMs => gapMs >= maxRunMs)) && hasGaps && isKept
        );
      } finally {
        await fleet.stop();
      }
    });
  },
);
