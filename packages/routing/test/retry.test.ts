/**
 * Tests when retries are allowed, what they cost, and which outcome is reported in the end.
 */
import test from 'ava';
import fc from 'fast-check';

import {
  getResendCost,
  getRetryDelayMs,
  isRetryAllowed,
  mergeFailure,
} from '../src/retry.js';
import {
  FAILURE_BUDGET,
  REFUSAL_BUDGET,
  RetryBudget,
} from '../src/retry_budget.js';
import type {AttemptFailure} from '../src/types.js';

const SEED = 7;
const MAX_EXTRA_SHARE = 0.1;

function createFailure(
  outcome: AttemptFailure['outcome'],
  code: AttemptFailure['code'] = 'DD3005',
  ownerGeneration = 0,
): AttemptFailure {
  return {outcome, code, text: '', retryAfterMs: 0, ownerGeneration};
}

test('a request that is not idempotent is never retried once it may have run', t => {
  const property = fc.property(
    fc.nat(20),
    fc.integer({min: 1, max: 10}),
    fc.boolean(),
    fc.nat(1_000),
    (attemptsMade, maxAttempts, isBodyKept, remainingMs) =>
      !isRetryAllowed({
        failure: createFailure('unknown', 'DD3009'),
        isIdempotent: false,
        attemptsMade,
        maxAttempts,
        isBodyKept,
        remainingMs,
        delayMs: 0,
      }),
  );
  fc.assert(property, {seed: SEED});
  t.pass();
});

test('an idempotent request is sent at most as often as its kind allows, within the deadline', t => {
  const property = fc.property(
    fc.integer({min: 1, max: 10}),
    fc.nat(500),
    fc.nat(500),
    (maxAttempts, remainingMs, delayMs) => {
      let attempts = 1;
      while (
        isRetryAllowed({
          failure: createFailure('unknown', 'DD3009'),
          isIdempotent: true,
          attemptsMade: attempts,
          maxAttempts,
          isBodyKept: true,
          remainingMs,
          delayMs,
        })
      )
        attempts += 1;
      return attempts <= (remainingMs > delayMs ? maxAttempts : 1);
    },
  );
  fc.assert(property, {seed: SEED});
  t.pass();
});

test('the delay is at most the limit and at least the requested time up to the limit', t => {
  const property = fc.property(
    fc.nat(50),
    fc.nat(10_000),
    fc.double({min: 0, max: 1, noNaN: true}),
    (retries, retryAfterMs, random) => {
      const delayMs = getRetryDelayMs(retries, retryAfterMs, random);
      return delayMs <= 200 && delayMs >= Math.min(retryAfterMs, 200);
    },
  );
  fc.assert(property, {seed: SEED});
  t.pass();
});

test('the budgets limit the extra load to a tenth when everything fails', t => {
  const requests = 10_000;
  const failures = new RetryBudget(FAILURE_BUDGET);
  const refusals = new RetryBudget(REFUSAL_BUDGET);
  let extra = 0;
  for (let request = 0; request < requests; request++) {
    failures.addRequest();
    refusals.addRequest();
    for (let retry = 0; retry < 10; retry++) {
      if (failures.trySpendRetry()) extra += 1;
      if (refusals.trySpendRetry()) extra += 1;
    }
  }
  const saved = FAILURE_BUDGET.maxSaved + REFUSAL_BUDGET.maxSaved;
  t.true(extra <= saved + MAX_EXTRA_SHARE * requests);
  t.true((extra - saved) / requests < MAX_EXTRA_SHARE);
});

test('after an attempt that may have run, a refusal leaves the outcome unknown', t => {
  t.is(mergeFailure(true, createFailure('not-run')).outcome, 'unknown');
  t.is(mergeFailure(false, createFailure('not-run')).outcome, 'not-run');
});

test('the cost of resending a refused request depends on the code, the host and the generation', t => {
  const at = (host: string, generation: number) => ({host, generation});
  const refused = (code: AttemptFailure['code'], isLocal: boolean) => ({
    failure: createFailure('not-run', code, 5),
    host: 'a',
    isLocal,
  });
  t.is(getResendCost(refused('DD3017', false), at('a', 4)), 'never');
  t.is(getResendCost(refused('DD3017', false), at('b', 5)), 'free');
  t.is(getResendCost(refused('DD3005', false), at('a', 5)), 'budget');
  t.is(getResendCost(refused('DD3005', true), at('a', 5)), 'free');
  t.is(getResendCost(refused('DD3010', true), at('a', 5)), 'budget');
  t.is(getResendCost(refused('DD3008', false), at('b', 0)), 'budget');
});
