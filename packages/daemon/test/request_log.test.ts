/**
 * Tests of the lines that explain failed requests: what they say, and that a burst is bounded.
 */
import test from 'ava';

import type {Log, LogFields} from '@dottereldrift/core/log.js';

import type {Exchange} from '../src/exchange.js';
import {refuse} from '../src/failures.js';
import {RefusalLog} from '../src/refusal_log.js';
import {RequestLog} from '../src/request_log.js';
import {ManualSystem} from './fakes.js';

const BURST = 100;
const MOST_LINES = 20;

class RecordingLog implements Log {
  readonly lines: LogFields[] = [];
  writeDebug(): void {}
  writeWarning(): void {}
  writeError(): void {}
  writeInfo(_sentence: string, fields: LogFields = {}): void {
    this.lines.push(fields);
  }
  createPart(): Log {
    return this;
  }
}

test('a failed request leaves its name and what decided; a burst is bounded and counted', t => {
  const system = new ManualSystem();
  const log = new RecordingLog();
  const requests = new RequestLog(system, log, () => ({
    configuration: 7,
    assignment: 3,
    storeSilenceMs: 40,
    loopLagMs: 12,
  }));
  const exchange = {
    target: {service: 'menu', key: '5', path: '/'},
    kind: {name: 'r-menu'},
    routed: {requestId: 'abc'},
    receivedAt: system.getNow(),
    deadlineAtMs: system.getNow().monotonicMs + 800,
  } as unknown as Exchange;
  const result = {kind: 'failed', failure: refuse('DD3005', 10)} as const;
  for (let request = 0; request < BURST; request++)
    requests.observe(exchange, result);
  t.is(log.lines.length, MOST_LINES);
  t.snapshot(log.lines[0]);
  system.shift(1_000);
  requests.observe(exchange, result);
  t.is(log.lines[MOST_LINES]?.leftOut, BURST - MOST_LINES);
});

test('a refused request leaves the load that decided; a burst is bounded and counted', t => {
  const system = new ManualSystem();
  const log = new RecordingLog();
  const refusals = new RefusalLog(system, log);
  const exchange = {
    target: {service: 'menu', key: '5', path: '/'},
    kind: {name: 'r-menu'},
    routed: {requestId: 'abc'},
    receivedAt: system.getNow(),
  } as unknown as Exchange;
  const load = {
    slots: 6,
    openSlots: 4,
    running: 4,
    isNested: true,
    nestedRunning: 1,
    queued: 3,
  };
  for (let request = 0; request < BURST; request++)
    refusals.observe(exchange, {code: 'DD3011', retryAfterMs: 9.5, load});
  t.is(log.lines.length, MOST_LINES);
  t.snapshot(log.lines[0]);
});
