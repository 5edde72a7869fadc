/**
 * Each check reports a violation in hand-written records and nothing in a run without one.
 */
import test from 'ava';

import type {RunRecord} from '@dottereldrift/standins/backend_server.js';

import {
  type AssignmentSample,
  type ConfigurationSample,
  findAssignmentViolations,
  findConfigurationViolations,
  findDepartureViolations,
  findOwnerViolations,
  findShutdownViolations,
  findViolations,
  STORE_OBSERVER,
} from '../src/violations.js';
import type {LoadResult} from '../src/load.js';

const RESULT: LoadResult = {
  requestId: 'r1',
  service: 'menu',
  kind: 'write',
  isIdempotent: false,
  key: 'k',
  idempotencyKey: 'once-1',
  outcome: 'completed',
  code: '',
  status: 200,
  dueAtMs: 0,
  latencyMs: 1,
  deadlineMs: 2_000,
  isOwnAnswer: true,
  entryHost: 'a',
};

const RECORD: RunRecord = {
  service: 'menu',
  host: 'a',
  key: 'k',
  requestId: 'r1',
  idempotencyKey: 'once-1',
  slice: 0,
  token: 5,
  startedAtMs: 1_000,
  serviceMs: 10,
};

const OTHER_RUN = {...RECORD, requestId: 'r2', idempotencyKey: 'once-2'};

test('a correct run has no violations', t => {
  const results = [RESULT, {...RESULT, requestId: 'r2', idempotencyKey: ''}];
  const records = [RECORD, {...OTHER_RUN, host: 'b', token: 6}];
  t.deepEqual(findViolations(results, records), []);
});

test('a second owner under the same or a lower token is reported', t => {
  const same = findOwnerViolations([RECORD, {...OTHER_RUN, host: 'b'}]);
  const lower = findOwnerViolations([RECORD, {...OTHER_RUN, token: 4}]);
  t.is(same.length, 1);
  t.is(lower.length, 1);
});

test('false outcomes and duplicate runs are reported', t => {
  const check = (result: Partial<LoadResult>, records: readonly RunRecord[]) =>
    findViolations([{...RESULT, ...result}], records).map(
      violation => violation.promise,
    );
  t.deepEqual(check({outcome: 'not-run'}, [RECORD]), ['not-run']);
  t.deepEqual(check({}, []), ['completed']);
  t.deepEqual(check({isOwnAnswer: false}, [RECORD]), ['own-answer']);
  t.deepEqual(check({idempotencyKey: undefined}, [RECORD, RECORD]), [
    'at-most-once',
  ]);
  const repeat = {...OTHER_RUN, idempotencyKey: 'once-1'};
  t.deepEqual(check({}, [RECORD, repeat]), ['at-most-once']);
});

test('a run that starts on a departed host after the limit is reported', t => {
  const departures = [{host: 'a', atMs: 1_000}];
  const at = (startedAtMs: number) => [{...RECORD, startedAtMs}];
  t.is(findDepartureViolations(at(3_999), departures).length, 0);
  t.is(findDepartureViolations(at(4_001), departures).length, 1);
});

test('a request that a shutdown interrupted is reported', t => {
  const departures = [{host: 'a', atMs: 900, stoppedAtMs: 2_000}];
  const check = (result: Partial<LoadResult>, records: readonly RunRecord[]) =>
    findShutdownViolations(
      [{...RESULT, latencyMs: 1_500, ...result}],
      records,
      departures,
      [],
    ).length;
  t.is(check({outcome: 'unknown', entryHost: 'b'}, [RECORD]), 1);
  t.is(check({outcome: 'unknown', code: 'connection'}, []), 1);
  t.is(check({outcome: 'unknown', code: 'DD3007'}, []), 0);
  t.is(check({}, [RECORD]), 0);
});

test('a request that was answered before a shutdown began is not reported as interrupted', t => {
  const departures = [{host: 'a', atMs: 3_000, stoppedAtMs: 4_000}];
  const check = (latencyMs: number, code: string) => {
    const result = {...RESULT, latencyMs, outcome: 'unknown', code};
    return findShutdownViolations(
      [result as LoadResult],
      [RECORD],
      departures,
      [],
    ).length;
  };
  t.is(check(2_999, 'DD3007'), 0);
  t.is(check(2_999, 'connection'), 0);
  t.is(check(3_000, 'DD3007'), 1);
  t.is(check(3_000, 'connection'), 1);
});

test('a run that outlasts its deadline is not reported as interrupted by a shutdown', t => {
  const departures = [{host: 'a', atMs: 900, stoppedAtMs: 4_000}];
  const check = (latencyMs: number, serviceMs: number) => {
    const result = {...RESULT, latencyMs, outcome: 'unknown', code: 'DD3007'};
    const records = [{...RECORD, serviceMs}];
    return findShutdownViolations(
      [result as LoadResult],
      records,
      departures,
      [],
    ).length;
  };
  t.is(check(2_001, 1_100), 0);
  // Reported: the run finished before the deadline, or the caller got its outcome before the deadline.
  t.is(check(2_001, 900), 1);
  t.is(check(1_500, 1_100), 1);
});

function createConfiguration(
  host: string,
  ...shown: ReadonlyArray<readonly [number, number]>
): readonly ConfigurationSample[] {
  return shown.map(([atMs, generation]) => ({host, atMs, generation}));
}

test('a configuration that reverts or is applied late is reported', t => {
  const store = createConfiguration(STORE_OBSERVER, [0, 1], [100, 2]);
  const check = (
    samples: readonly ConfigurationSample[],
    untilMs: number | undefined,
  ) => {
    const absences =
      untilMs === undefined ? [] : [{host: 'a', fromMs: 50, untilMs}];
    return findConfigurationViolations([...store, ...samples], absences).length;
  };
  t.is(check(createConfiguration('a', [0, 1], [5_000, 2]), undefined), 0);
  t.is(check(createConfiguration('a', [0, 2], [200, 1]), undefined), 1);
  const late = createConfiguration('a', [0, 1], [6_200, 1], [7_000, 2]);
  t.is(check(late, undefined), 1);
  t.is(check(late, 3_000), 0);
  t.is(check(createConfiguration('a', [0, 1], [9_100, 1]), 3_000), 1);
});

test('an assignment that is lost, reverts or differs is reported', t => {
  const sample = (
    observer: string,
    generation: number,
    digest = `digest ${generation}`,
  ): AssignmentSample => ({observer, service: 'menu', generation, digest});
  const stored = sample(STORE_OBSERVER, 2);
  const check = (...samples: readonly AssignmentSample[]) =>
    findAssignmentViolations(samples).length;
  t.is(check(sample('a', 1), sample('a', 2), stored), 0);
  t.is(check(sample('a', 2), sample('a', 1), stored), 1);
  t.is(check(sample('a', 2, 'another'), stored), 1);
  t.is(check(sample('acknowledged', 3), stored), 1);
});
