/**
 * Relays on real processes: configurations reach every daemon while the relay is suspended or killed, and a
 * daemon that starts during a store outage reports that its configuration is not fresh.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import test, {type ExecutionContext} from 'ava';

import {type Deployment, findDeployment} from '../src/deployments.js';
import {Fleet, type FleetHost} from '../src/fleet.js';

/** Places every daemon in one data centre, so that all of them follow one relay. */
function createSingleDataCentreDeployment(): Deployment {
  const full = findDeployment('bocadito');
  if (full === undefined)
    throw new Error('The deployment bocadito is not defined.');
  const services = full.services.filter(plan => plan.service === 'menu');
  return {...full, services, dataCentres: ['sj1']};
}

async function runWithFleet(
  t: ExecutionContext,
  run: (fleet: Fleet, deployment: Deployment) => Promise<void>,
): Promise<void> {
  const directory = mkdtempSync(join(tmpdir(), 'dottereldrift-test-'));
  const deployment = createSingleDataCentreDeployment();
  const fleet = new Fleet({deployment, directory, stragglerShare: 0});
  try {
    await fleet.start();
    await run(fleet, deployment);
    t.pass();
  } finally {
    await fleet.stop();
    rmSync(directory, {recursive: true, force: true});
  }
}

async function findRelay(fleet: Fleet): Promise<FleetHost> {
  let relay: FleetHost | undefined;
  await fleet.waitUntil(async () => {
    const sources = await Promise.all(
      fleet.hosts.map(async host => {
        const status = await fleet.getStatus(host);
        return status.control.source;
      }),
    );
    relay = fleet.hosts[sources.indexOf('store')];
    return sources.filter(source => source === 'store').length === 1;
  });
  if (relay === undefined) throw new Error('No daemon is a relay.');
  return relay;
}

async function waitForGeneration(
  fleet: Fleet,
  hosts: readonly FleetHost[],
  generation: number,
): Promise<void> {
  await fleet.waitUntil(async () => {
    const statuses = await Promise.all(
      hosts.map(host => fleet.getStatus(host)),
    );
    return statuses.every(status => status.manifestGeneration === generation);
  });
}

test.serial(
  'a configuration reaches every daemon while the relay is suspended, then killed',
  async t => {
    await runWithFleet(t, async (fleet, deployment) => {
      const relay = await findRelay(fleet);
      const others = fleet.hosts.filter(host => host !== relay);
      const [writer] = others;
      if (writer === undefined)
        throw new Error('The fleet has no host besides the relay.');
      const submit = (maxQueued: number) =>
        fleet.callOperator(writer, 'PUT', '/manifest', {
          text: JSON.stringify({
            services: {
              menu: {...deployment.manifest.services['menu'], maxQueued},
            },
          }),
        });
      fleet.getDaemon(relay).signal('SIGSTOP');
      await submit(100);
      await waitForGeneration(fleet, others, 2);
      fleet.getDaemon(relay).signal('SIGCONT');
      await waitForGeneration(fleet, fleet.hosts, 2);
      await fleet.getDaemon(relay).kill();
      await submit(101);
      await waitForGeneration(fleet, others, 3);
    });
  },
);

test.serial(
  'a daemon that starts during a store outage gets its configuration from peers',
  async t => {
    await runWithFleet(t, async fleet => {
      const late = fleet.hosts[4];
      if (late === undefined)
        throw new Error('The fleet has fewer than five hosts.');
      await fleet.getDaemon(late).kill();
      await fleet.setStoreFaults({isOut: true});
      await fleet.startDaemon(late);
      await fleet.waitUntil(async () => {
        const status = await fleet.getStatus(late);
        const isInForce = status.manifestGeneration === 1;
        return isInForce && !status.isReady && !status.isConfigurationFresh;
      });
      await fleet.setStoreFaults({isOut: false});
      await fleet.waitUntil(async () => {
        const status = await fleet.getStatus(late);
        return status.isReady && status.isConfigurationFresh;
      });
    });
  },
);
