/**
 * Tests of the admission of requests while a daemon stops, at several grace periods.
 */
import test from 'ava';

import {AbandonmentSignal} from '../src/abandonment_signal.js';
import type {AttemptResult, Exchange} from '../src/exchange.js';
import {createNotRunFailure} from '../src/failures.js';
import {createStopTimes, ShutdownGate} from '../src/shutdown_gate.js';
import {ManualSystem} from './fakes.js';

const LONG_MS = 60_000;
const ANSWERED: AttemptResult = {
  kind: 'answered',
  status: 200,
  isTruncated: false,
};

function createExchange(system: ManualSystem, deadlineMs: number): Exchange {
  const deadlineAtMs = system.getNow().monotonicMs + deadlineMs;
  const abandonment = new AbandonmentSignal();
  return {deadlineAtMs, abandonment} as unknown as Exchange;
}

function formatResult(result: AttemptResult): string {
  if (result.kind === 'answered') return String(result.status);
  const {outcome, code, retryAfterMs} = result.failure;
  return `${outcome} ${code}, retry after ${retryAfterMs} ms`;
}

for (const graceMs of [1_000, 2_000, 6_000, 10_000]) {
  const times = createStopTimes(graceMs);

  test(`a grace period of ${graceMs} ms is divided in order`, t => {
    const {noticeMs, maxNoticeMs, requestsEndMs, exitMs} = times;
    t.true(0 < noticeMs && noticeMs <= maxNoticeMs);
    t.true(maxNoticeMs < graceMs / 2);
    // A request that is sent later than 3 s after the signal may not be broken off at all.
    t.true(maxNoticeMs < 3_000);
    // A request may be broken off in the last sixth of the grace period only.
    t.true((graceMs * 5) / 6 < requestsEndMs);
    t.true(requestsEndMs < exitMs && exitMs < graceMs);
  });

  // Guards against requests that are taken although the process exits before they can end.
  test(`after the notice only requests that end before the daemon are admitted: ${graceMs} ms`, async t => {
    const system = new ManualSystem();
    const gate = new ShutdownGate(system);
    const send = async (source: 'caller' | 'peer', deadlineMs: number) => {
      const exchange = createExchange(system, deadlineMs);
      const handle = () => Promise.resolve(ANSWERED);
      return formatResult(await gate.handle(exchange, source, handle));
    };
    t.is(await send('caller', LONG_MS), '200');
    gate.startStopping(times);
    t.is(await send('caller', LONG_MS), '200');
    t.is(await send('peer', LONG_MS), '200');
    system.shift(times.maxNoticeMs);
    const leftMs = times.requestsEndMs - times.maxNoticeMs;
    const retryAfterMs = Math.round(times.exitMs - times.maxNoticeMs);
    t.is(await send('caller', leftMs - 100), '200');
    t.is(await send('peer', leftMs - 100), '200');
    t.is(
      await send('caller', leftMs),
      `not-run DD3021, retry after ${retryAfterMs} ms`,
    );
    t.is(await send('peer', leftMs), 'not-run DD3021, retry after 10 ms');
  });
}

test('requests in progress at the end are told what is known of them, and later ones are refused', async t => {
  const system = new ManualSystem();
  const gate = new ShutdownGate(system);
  const times = createStopTimes(6_000);
  const createHandler =
    (outcome: 'not-run' | 'unknown') => (exchange: Exchange) =>
      new Promise<AttemptResult>(resolve => {
        const failure = {...createNotRunFailure('DD3022', 0), outcome};
        exchange.abandonment.addListener(() => {
          resolve({kind: 'failed', failure});
        });
      });
  const sent = (['not-run', 'unknown'] as const).map(outcome =>
    gate.handle(
      createExchange(system, LONG_MS),
      'caller',
      createHandler(outcome),
    ),
  );
  gate.startStopping(times);
  system.shift(times.requestsEndMs);
  t.is(gate.endRequests(), 2);
  t.deepEqual((await Promise.all(sent)).map(formatResult), [
    'not-run DD3021, retry after 0 ms',
    'unknown DD3021, retry after 0 ms',
  ]);
  const refused = await gate.handle(createExchange(system, 1), 'caller', () =>
    Promise.resolve(ANSWERED),
  );
  t.is(formatResult(refused), 'not-run DD3021, retry after 250 ms');
  t.is(gate.endRequests(), 0);
});

test('a daemon without a grace period refuses nothing', async t => {
  const system = new ManualSystem();
  const gate = new ShutdownGate(system);
  gate.startStopping(createStopTimes(Infinity));
  system.shift(LONG_MS);
  const exchange = createExchange(system, LONG_MS);
  const handle = () => Promise.resolve(ANSWERED);
  t.is(formatResult(await gate.handle(exchange, 'peer', handle)), '200');
});
