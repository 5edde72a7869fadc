/**
 * Tests of the refusal of requests that are read too late, and of the log line that counts them.
 */
import test from 'ava';

import type {Log, LogFields} from '@dottereldrift/core/log.js';

import {LagGate} from '../src/lag_gate.js';
import {ManualSystem} from './fakes.js';

const INTERVAL_MS = 1_000;

class RecordingLog implements Log {
  readonly lines: LogFields[] = [];
  writeDebug(): void {}
  writeInfo(): void {}
  writeError(): void {}
  writeWarning(_sentence: string, fields: LogFields = {}): void {
    this.lines.push(fields);
  }
  createChild(): Log {
    return this;
  }
}

function createGate() {
  const system = new ManualSystem();
  const log = new RecordingLog();
  const unread: string[] = [];
  const lag = {ms: 0};
  const gate = new LagGate(
    system,
    {getLagMs: () => lag.ms},
    {observeUnread: code => unread.push(code)},
    log,
  );
  return {system, log, unread, lag, gate};
}

test('requests refused for lag are logged once a second, beside those that were started', t => {
  const {system, log, unread, lag, gate} = createGate();
  t.true(gate.tryAdmit('caller', 0));
  gate.observeStart('caller');
  lag.ms = 130;
  t.false(gate.tryAdmit('caller', 0));
  t.false(gate.tryAdmit('peer', 380));
  lag.ms = 0;
  t.true(gate.tryAdmit('peer', 20));
  gate.observeStart('peer');
  t.is(log.lines.length, 0);
  system.shift(INTERVAL_MS);
  t.is(log.lines.length, 1);
  const {processorMs, ...line} = log.lines[0] ?? {};
  t.is(typeof processorMs, 'number');
  t.deepEqual(line, {
    elapsedMs: INTERVAL_MS,
    maxLagMs: 380,
    callersRefused: 1,
    callersStarted: 0,
    peersRefused: 1,
    peersStarted: 1,
  });
  t.deepEqual(unread, ['DD3034', 'DD3034']);
});

test('a lagging daemon refuses its callers before the requests that other daemons have accepted', t => {
  const {lag, gate} = createGate();
  lag.ms = 250;
  t.false(gate.tryAdmit('caller', 0));
  t.true(gate.tryAdmit('peer', 0));
  t.true(gate.tryAdmit('peer', 290));
  lag.ms = 350;
  t.false(gate.tryAdmit('peer', 0));
});

test('no line is written and no timer runs while nothing is refused for lag', t => {
  const {system, log, gate} = createGate();
  t.true(gate.tryAdmit('peer', 100));
  gate.observeStart('peer');
  t.is(system.countTimers(), 0);
  system.shift(INTERVAL_MS);
  t.is(log.lines.length, 0);
});
