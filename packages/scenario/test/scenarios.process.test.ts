/**
 * Runs the scenarios tagged for it on real processes.
 */
import test from 'ava';

import {runInDirectory} from '@dottereldrift/bench/run_directory.js';

import {findBrokenPromises} from '../src/evidence.js';
import {readScripts} from '../src/parse_script.js';
import {runOnProcesses} from '../src/process_run.js';

const SEED = 1;

for (const script of readScripts()) {
  if (!script.isForProcesses) continue;
  test.serial(`processes "${script.name}"`, async t => {
    await runInDirectory('scenario', async directory => {
      const evidence = await runOnProcesses(script, SEED, directory);
      const hasNoBrokenPromise = t.deepEqual(
        findBrokenPromises(script, evidence),
        [],
      );
      const completed = evidence.results.filter(
        result => result.outcome === 'completed',
      );
      return (
        t.true(completed.length > evidence.results.length / 2) &&
        hasNoBrokenPromise
      );
    });
  });
}
