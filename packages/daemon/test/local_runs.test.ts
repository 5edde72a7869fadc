/**
 * Tests of the record of what the backend server of this host runs.
 */
import test from 'ava';

import {LocalRuns} from '../src/local_runs.js';

test('a request runs until each of its runs has ended', t => {
  const runs = new LocalRuns();
  const endFirst = runs.startRun('a');
  const endSecond = runs.startRun('a');
  endFirst();
  endFirst();
  t.true(runs.isRunning('a'));
  endSecond();
  t.false(runs.isRunning('a'));
  t.false(runs.isRunning('b'));
});
