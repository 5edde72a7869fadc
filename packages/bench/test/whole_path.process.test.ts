/**
 * End-to-end test on real processes: the requests to a small deployment reach the owners of their keys.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import test from 'ava';

import {type Deployment, findDeployment} from '../src/deployments.js';
import {Fleet} from '../src/fleet.js';
import {findViolations} from '../src/violations.js';
import {LoadGenerator} from '../src/load.js';

function createSmallDeployment(): Deployment {
  const full = findDeployment('bocadito');
  if (full === undefined)
    throw new Error('The deployment bocadito is not defined.');
  const services = full.services.filter(plan => plan.service === 'menu');
  const traffic = full.traffic.filter(plan => plan.service === 'menu');
  return {...full, services, traffic};
}

test('every request is answered by the single owner of its key', async t => {
  const deployment = createSmallDeployment();
  const directory = mkdtempSync(join(tmpdir(), 'dottereldrift-test-'));
  const fleet = new Fleet({
    deployment,
    directory,
    stragglerShare: 0,
  });
  try {
    await fleet.start();
    const generator = new LoadGenerator({
      deployment,
      targets: fleet.hosts.map(host => fleet.getCallerUrl(host)),
      requestsPerSecond: 100,
      durationMs: 2_000,
      seed: 7,
      keys: 200,
    });
    const results = await generator.run();
    const records = fleet.readRecords();
    t.deepEqual(findViolations(results, records), []);
    t.true(results.every(result => result.outcome === 'completed'));
    t.is(records.length, results.length);
  } finally {
    await fleet.stop();
    rmSync(directory, {recursive: true, force: true});
  }
});
