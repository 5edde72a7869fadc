/**
 * Tests the decision whether a request without a record can have run under an earlier owner.
 */
import test from 'ava';
import fc from 'fast-check';

import {
  CLOCK_SKEW_MARGIN_MS,
  isCertainlyNew,
  type NoveltyInput,
  parseUuidTime,
} from '../src/request_novelty.js';

const TAKEOVER_WALL_MS = 1_700_000_000_000;
const RETENTION_MS = 600_000;
const SEED = 6;

function createInput(change: Partial<NoveltyInput>): NoveltyInput {
  return {
    recordsSince: 7,
    seenAt: {monotonicMs: 0, wallMs: TAKEOVER_WALL_MS},
    now: {monotonicMs: 60_000, wallMs: TAKEOVER_WALL_MS + 60_000},
    retentionMs: RETENTION_MS,
    firstGeneration: undefined,
    firstSentWallMs: undefined,
    idempotencyKey: 'any',
    ...change,
  };
}

function createUuid(timeMs: number): string {
  const hex = timeMs.toString(16).padStart(12, '0');
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7abc-8abc-0123456789ab`;
}

test('a timestamp or generation proves a request new only from the takeover on', t => {
  const late = TAKEOVER_WALL_MS + CLOCK_SKEW_MARGIN_MS + 1;
  const cases: ReadonlyArray<readonly [string, Partial<NoveltyInput>]> = [
    ['no stamp', {}],
    ['records from the start', {recordsSince: 0}],
    ['routed before', {firstGeneration: 6}],
    ['routed since', {firstGeneration: 7}],
    ['sent before', {firstSentWallMs: TAKEOVER_WALL_MS - 1}],
    ['sent within the margin', {firstSentWallMs: late - 1}],
    ['sent after the margin', {firstSentWallMs: late}],
    ['sent in the future', {firstSentWallMs: late + 3_600_000}],
    ['key made before', {idempotencyKey: createUuid(TAKEOVER_WALL_MS)}],
    ['key made after', {idempotencyKey: createUuid(late)}],
    [
      'retention over',
      {now: {monotonicMs: RETENTION_MS, wallMs: TAKEOVER_WALL_MS}},
    ],
  ];
  t.snapshot(
    cases.map(
      ([name, change]) => `${name}: ${isCertainlyNew(createInput(change))}`,
    ),
  );
});

test('a request that ran before the takeover never counts as new while its caller may repeat it', t => {
  const property = fc.property(
    fc.integer({min: 1, max: RETENTION_MS}),
    fc.integer({min: 0, max: RETENTION_MS}),
    fc.integer({min: -CLOCK_SKEW_MARGIN_MS, max: CLOCK_SKEW_MARGIN_MS}),
    fc.boolean(),
    fc.boolean(),
    (sentBeforeMs, repeatedAfterMs, skewMs, isStamped, hasUuid) => {
      const ageMs = sentBeforeMs + repeatedAfterMs;
      fc.pre(ageMs < RETENTION_MS);
      const stampMs = TAKEOVER_WALL_MS - sentBeforeMs + skewMs;
      return !isCertainlyNew(
        createInput({
          now: {
            monotonicMs: repeatedAfterMs,
            wallMs: TAKEOVER_WALL_MS + repeatedAfterMs,
          },
          firstGeneration: isStamped ? 6 : undefined,
          firstSentWallMs: isStamped ? stampMs : undefined,
          idempotencyKey: hasUuid ? createUuid(stampMs) : 'plain',
        }),
      );
    },
  );
  fc.assert(property, {seed: SEED, numRuns: 2_000});
  t.pass();
});

test('a request that ran before the takeover does not count as new if the clock was behind and corrected later', t => {
  const property = fc.property(
    fc.integer({min: 1, max: RETENTION_MS}),
    fc.integer({min: 0, max: RETENTION_MS}),
    fc.integer({min: 0, max: RETENTION_MS}),
    fc.integer({min: 0, max: RETENTION_MS}),
    (sentBeforeMs, repeatedAfterMs, behindMs, suspendedMs) => {
      fc.pre(sentBeforeMs + repeatedAfterMs < RETENTION_MS);
      return !isCertainlyNew(
        createInput({
          seenAt: {monotonicMs: 0, wallMs: TAKEOVER_WALL_MS - behindMs},
          now: {
            monotonicMs:
              repeatedAfterMs - Math.min(suspendedMs, repeatedAfterMs),
            wallMs: TAKEOVER_WALL_MS + repeatedAfterMs,
          },
          firstSentWallMs: TAKEOVER_WALL_MS - sentBeforeMs,
        }),
      );
    },
  );
  fc.assert(property, {seed: SEED, numRuns: 2_000});
  t.pass();
});

test('only version 7 UUIDs have a timestamp', t => {
  t.is(parseUuidTime(createUuid(TAKEOVER_WALL_MS)), TAKEOVER_WALL_MS);
  t.is(parseUuidTime('018bcfe5-6800-4abc-8abc-0123456789ab'), undefined);
  t.is(parseUuidTime('once-1'), undefined);
});
