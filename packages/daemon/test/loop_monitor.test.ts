/**
 * Tests of how a daemon notices that it is behind with its work.
 */
import test from 'ava';

import {LoopMonitor} from '../src/loop_monitor.js';
import {ManualSystem} from './fakes.js';

const TICK_MS = 50;

test('a process that was held up begins nothing until it has caught up', t => {
  const system = new ManualSystem();
  const monitor = new LoopMonitor(system);
  monitor.start();
  system.shift(TICK_MS);
  t.false(monitor.isBehind());
  system.shift(TICK_MS * 4);
  t.true(monitor.isBehind(), 'what is read now has waited');
  system.shift(TICK_MS);
  t.false(monitor.isBehind());
  monitor.stop();
});

test('a host that was suspended is behind though its monotonic clock stood still', t => {
  const system = new ManualSystem();
  const monitor = new LoopMonitor(system);
  monitor.start();
  const {monotonicMs, wallMs} = system.now;
  system.now = {monotonicMs, wallMs: wallMs + 2_000};
  t.true(monitor.isBehind());
  monitor.stop();
});

test('the lag that is reported is the worst of the looks since the last report', t => {
  const system = new ManualSystem();
  const monitor = new LoopMonitor(system);
  monitor.start();
  t.is(monitor.takeTailLagMs(), 0, 'nothing has been looked at');
  system.shift(TICK_MS);
  system.shift(TICK_MS * 4);
  const lagMs = monitor.takeTailLagMs();
  t.true(Math.abs(lagMs - TICK_MS * 3) < 1, `${lagMs} ms`);
  system.shift(TICK_MS);
  t.true(monitor.takeTailLagMs() < 1, 'it begins anew');
  monitor.stop();
});
