/**
 * Tests of the logs and counts of failed and refused requests: their fields, and their bounds under a burst.
 */
import test from 'ava';

import type {Log, LogFields} from '@dottereldrift/core/log.js';

import type {Exchange} from '../src/exchange.js';
import {createNotRunFailure} from '../src/failures.js';
import {RefusalLog} from '../src/refusal_log.js';
import {FailureLog} from '../src/request_log.js';
import {RequestTally} from '../src/request_tally.js';
import {ManualSystem} from './fakes.js';

const BURST = 100;
const MAX_LINES = 20;
const MAX_ROWS = 64;

class RecordingLog implements Log {
  readonly lines: LogFields[] = [];
  writeDebug(): void {}
  writeWarning(): void {}
  writeError(): void {}
  writeInfo(_sentence: string, fields: LogFields = {}): void {
    this.lines.push(fields);
  }
  createChild(): Log {
    return this;
  }
}

test('a failed request is logged with the state of its routing decision; a burst is bounded and counted', t => {
  const system = new ManualSystem();
  const log = new RecordingLog();
  const requests = new FailureLog(system, log, () => ({
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
  const result = {
    kind: 'failed',
    failure: createNotRunFailure('DD3005', 10),
  } as const;
  for (let request = 0; request < BURST; request++)
    requests.observe(exchange, result);
  t.is(log.lines.length, MAX_LINES);
  t.snapshot(log.lines[0]);
  system.shift(1_000);
  requests.observe(exchange, result);
  t.is(log.lines[MAX_LINES]?.leftOut, BURST - MAX_LINES);
});

test('a refused request is logged with the load that caused it; a burst is bounded and counted', t => {
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
  t.is(log.lines.length, MAX_LINES);
  t.snapshot(log.lines[0]);
});

test('requests are counted by result with their offers and durations, and logged periodically', t => {
  const system = new ManualSystem();
  const log = new RecordingLog();
  const tally = new RequestTally(system, log, {
    storeCallsByPurpose: {watch: 3, 'write-session': 1},
    storeSerializableCalls: 2,
  });
  const exchange = {
    kind: {name: 'r-menu'},
    routed: {goalMs: 200},
    receivedAt: system.getNow(),
  } as unknown as Exchange;
  const refused = {
    kind: 'failed',
    failure: createNotRunFailure('DD3011', 10),
  } as const;
  const answered = {kind: 'answered', status: 200, isTruncated: false} as const;
  tally.start();
  for (let request = 0; request < BURST; request++)
    tally.observe(exchange, refused, {offers: 3, hops: 2});
  tally.observe(exchange, answered, {offers: 1, hops: 0});
  tally.observeUnread('DD3034');
  t.is(log.lines.length, 0);
  system.shift(5_000);
  tally.observe(exchange, answered, {offers: 1, hops: 1});
  system.shift(5_000);
  system.shift(5_000);
  t.deepEqual(
    log.lines.map(({rows}) => rows),
    [
      'r-menu DD3011 100 300 200 0; r-menu 2xx 1 1 0 0; unread DD3034 1 0 0 0',
      'r-menu 2xx-late 1 1 1 5000',
    ],
  );
  t.is(
    log.lines[0]?.['storeCalls'],
    'watch 3; write-session 1; serializable 2',
  );
  tally.stop();
  t.is(system.countTimers(), 0);
});

test('the number of counted kinds is bounded', t => {
  const system = new ManualSystem();
  const log = new RecordingLog();
  const tally = new RequestTally(system, log, {
    storeCallsByPurpose: {watch: 3, 'write-session': 1},
    storeSerializableCalls: 2,
  });
  for (let kind = 0; kind < MAX_ROWS + BURST; kind++) {
    const exchange = {
      kind: {name: `r-${kind}`},
      routed: {goalMs: 200},
      receivedAt: system.getNow(),
    } as unknown as Exchange;
    const answered = {
      kind: 'answered',
      status: 200,
      isTruncated: false,
    } as const;
    tally.observe(exchange, answered, {offers: 1, hops: 1});
  }
  tally.stop();
  const rows = String(log.lines[0]?.rows).split('; ');
  t.is(rows.length, MAX_ROWS + 1);
  t.is(rows[MAX_ROWS], `other ${BURST} ${BURST} ${BURST} 0`);
});
