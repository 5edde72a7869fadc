/**
 * Runs every scenario in virtual time with fixed seeds.
 */
import test from 'ava';

import {findBrokenPromises} from '../src/evidence.js';
import {readScripts} from '../src/parse_script.js';
import {runVirtually} from '../src/virtual_run.js';

const SEEDS = [1, 2];
/** Scenarios whose trace is compared with a snapshot. */
const SNAPSHOT_SCENARIOS = ['a host is lost', 'a host freezes and returns'];

for (const script of readScripts()) {
  test(`virtual "${script.name}"`, async t => {
    for (const seed of SEEDS) {
      const evidence = await runVirtually(script, {seed});
      t.deepEqual(findBrokenPromises(script, evidence), [], `seed ${seed}`);
      const completed = evidence.results.filter(
        result => result.outcome === 'completed',
      );
      t.true(completed.length > evidence.results.length / 2, `seed ${seed}`);
    }
  });
}

for (const script of readScripts()) {
  if (!SNAPSHOT_SCENARIOS.includes(script.name)) continue;
  test(`the same seed leaves the same trace: "${script.name}"`, async t => {
    const first = await runVirtually(script, {seed: 3});
    const second = await runVirtually(script, {seed: 3});
    t.deepEqual(second.trace, first.trace);
    t.deepEqual(second.records, first.records);
    const snapshotLine = /^[0-9.]+ (--|.*(has ended|was accepted))/;
    t.snapshot(first.trace.filter(line => snapshotLine.test(line)));
  });
}
