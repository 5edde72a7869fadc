/**
 * Tests of how a daemon detects that its event loop is lagging.
 */
import test from 'ava';

import {LoopMonitor} from '../src/loop_monitor.js';
import {ManualSystem} from './fakes.js';

const TICK_MS = 50;
const MAX_LAG_MS = 100;

test('a process that was blocked is lagging until it has caught up', t => {
  const system = new ManualSystem();
  const monitor = new LoopMonitor(system);
  monitor.start();
  system.shift(TICK_MS);
  t.false(monitor.getLagMs() > MAX_LAG_MS);
  system.shift(TICK_MS * 4);
  t.true(monitor.getLagMs() > MAX_LAG_MS, 'requests read now have waited');
  system.shift(TICK_MS);
  t.false(monitor.getLagMs() > MAX_LAG_MS);
  monitor.stop();
});

test('a host that was suspended is lagging although its monotonic clock did not advance', t => {
  const system = new ManualSystem();
  const monitor = new LoopMonitor(system);
  monitor.start();
  const {monotonicMs, wallMs} = system.now;
  system.now = {monotonicMs, wallMs: wallMs + 2_000};
  t.true(monitor.getLagMs() > MAX_LAG_MS);
  monitor.stop();
});

test('the reported lag covers only the samples since the last report', t => {
  const system = new ManualSystem();
  const monitor = new LoopMonitor(system);
  monitor.start();
  t.is(monitor.takeP99LagMs(), 0, 'no sample has been taken');
  system.shift(TICK_MS);
  system.shift(TICK_MS * 4);
  const lagMs = monitor.takeP99LagMs();
  t.true(Math.abs(lagMs - TICK_MS * 3) < 1, `${lagMs} ms`);
  system.shift(TICK_MS);
  t.true(monitor.takeP99LagMs() < 1, 'earlier samples were dropped');
  monitor.stop();
});
