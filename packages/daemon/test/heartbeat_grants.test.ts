/**
 * Tests of grants that are sent in responses to heartbeats.
 */
import test from 'ava';

import {RING_SIZE} from '@dottereldrift/core/ring_hash.js';
import type {Instant} from '@dottereldrift/core/types.js';
import type {
  Assignment,
  Slice,
  SliceRef,
} from '@dottereldrift/ownership/types.js';

import {HeartbeatGrants, type KeyReport} from '../src/heartbeat_grants.js';
import {ManualSystem} from './fakes.js';

const LEASE_MS = 9_000;
const HOLD_MS = 8_820;
/** Rate of a server's clock that runs 2% slow. */
const SLOW_CLOCK_RATE = 0.98;
const SELF = {host: 'h1', incarnation: 'a'};
const HALF = RING_SIZE / 2;
const FIRST: Slice = createSlice(0, 3);
const SECOND: Slice = {...createSlice(HALF, 4), handover: 'warm'};
const NOTHING: KeyReport = {held: [], freed: []};

function createSlice(start: number, token: number): Slice {
  return {start, owner: SELF, token, nextOwner: undefined, recordsSince: 0};
}

class Bench {
  readonly system = new ManualSystem();
  assigned: readonly Slice[] = [FIRST, SECOND];
  slices: readonly Slice[] = [FIRST, SECOND];
  stopped: SliceRef[] = [];
  leaseEnd: Instant | undefined;
  readonly grants: HeartbeatGrants;

  constructor(maxGrantBytes = 4_000, previousGrantsMs = -Infinity) {
    this.grants = new HeartbeatGrants(
      this.system,
      {
        getAssignment: (): Assignment => ({
          service: 'menu',
          generation: 4,
          slices: this.assigned,
          writer: SELF,
        }),
        getSlices: () => this.slices,
        getLeaseEnd: () => this.leaseEnd ?? this.addLease(),
      },
      {maxHoldMs: 10_000, maxGrantBytes},
      this.system.getNow().monotonicMs + previousGrantsMs,
    );
  }

  requestRelease(): void {
    this.grants.requestRelease([FIRST], refs => {
      this.stopped.push(...refs);
      this.slices = [SECOND];
    });
  }

  private addLease(): Instant {
    const {monotonicMs, wallMs} = this.system.getNow();
    return {monotonicMs: monotonicMs + LEASE_MS, wallMs: wallMs + LEASE_MS};
  }
}

test('a grant lists the key range of every slice and expires within the lease even if the server clock is slow', t => {
  const bench = new Bench();
  t.false(bench.grants.isGranted(FIRST));
  const grant = bench.grants.answerHeartbeat(NOTHING, true, 0);
  t.deepEqual(grant, {
    holdMs: HOLD_MS,
    keys: [
      {first: 0, last: 32_767, token: 3, handover: ''},
      {first: 32_768, last: 65_535, token: 4, handover: 'warm'},
    ],
  });
  t.true(bench.grants.isGranted(FIRST));
  t.true(HOLD_MS / SLOW_CLOCK_RATE <= LEASE_MS);
  bench.system.shift(LEASE_MS - 1);
  t.false(bench.grants.isGranted(FIRST));
  t.false(bench.grants.hasLapsed());
  bench.system.shift(1);
  t.true(bench.grants.hasLapsed());
});

test('the duration of a delayed grant is measured from the receipt of the heartbeat', t => {
  const bench = new Bench();
  const waitedMs = 300;
  const {monotonicMs, wallMs} = bench.system.getNow();
  bench.leaseEnd = {
    monotonicMs: monotonicMs + LEASE_MS - waitedMs,
    wallMs: wallMs + LEASE_MS - waitedMs,
  };
  const grant = bench.grants.answerHeartbeat(NOTHING, true, 0, waitedMs);
  t.is(grant?.holdMs, HOLD_MS);
  bench.system.shift(HOLD_MS - waitedMs - 50);
  t.false(
    bench.grants.isGranted(FIRST),
    'the server measures the grant from its heartbeat',
  );
  bench.system.shift(LEASE_MS - HOLD_MS + 50);
  t.true(bench.grants.hasLapsed());
});

test('nothing is granted if the lease has expired by the monotonic or the wall clock', t => {
  const bench = new Bench();
  const {monotonicMs, wallMs} = bench.system.getNow();
  bench.leaseEnd = {monotonicMs: monotonicMs + LEASE_MS, wallMs: wallMs - 1};
  t.is(bench.grants.answerHeartbeat(NOTHING, true, 0), undefined);
  bench.leaseEnd = {monotonicMs: monotonicMs - 1, wallMs: wallMs + LEASE_MS};
  t.is(bench.grants.answerHeartbeat(NOTHING, true, 0), undefined);
  t.true(bench.grants.hasLapsed());
});

test('a new server incarnation gets no slice under a token that a previous one may hold', t => {
  const bench = new Bench();
  const grant = bench.grants.answerHeartbeat(NOTHING, true, 3);
  t.deepEqual(
    grant?.keys.map(keys => keys.token),
    [4],
  );
  t.false(bench.grants.isGranted(FIRST));
});

test('a slice is released with its handover data once a later heartbeat no longer lists it as held', t => {
  const bench = new Bench();
  bench.grants.answerHeartbeat(NOTHING, true, 0);
  bench.requestRelease();
  t.deepEqual(bench.stopped, [], 'admission continues until the heartbeat');
  t.deepEqual(bench.grants.findReleased([FIRST]), []);
  const held = [{first: 0, last: 32_767, token: 3}];
  bench.grants.answerHeartbeat({held, freed: []}, true, 0);
  t.is(bench.stopped.length, 1);
  t.deepEqual(bench.grants.findReleased([FIRST]), []);
  bench.grants.answerHeartbeat({held, freed: []}, true, 0);
  t.deepEqual(
    bench.grants.findReleased([FIRST]),
    [],
    'the server still holds the slice',
  );
  const freed = [{first: 0, last: 32_767, handover: 'abc'}];
  bench.grants.answerHeartbeat({held: [], freed}, true, 0);
  t.deepEqual(bench.grants.findReleased([FIRST]), [
    {...FIRST, handover: 'abc'},
  ]);
});

test('a silent server loses a slice when its grants expire', t => {
  const bench = new Bench();
  bench.grants.answerHeartbeat(NOTHING, true, 0);
  bench.requestRelease();
  bench.system.shift(LEASE_MS);
  bench.requestRelease();
  t.is(bench.stopped.length, 1);
  t.deepEqual(bench.grants.findReleased([FIRST]), [FIRST]);
});

test('grants of the previous daemon process count until its lease has expired', t => {
  const bench = new Bench(4_000, LEASE_MS);
  t.false(bench.grants.hasLapsed());
  bench.requestRelease();
  t.deepEqual(bench.grants.findReleased([FIRST]), []);
  bench.system.shift(LEASE_MS);
  t.true(bench.grants.hasLapsed());
});

test('handover data is sent until the server reports that it holds the keys', t => {
  const bench = new Bench();
  const held = [{first: 32_768, last: 65_535, token: 4}];
  const grant = bench.grants.answerHeartbeat({held, freed: []}, true, 0);
  t.deepEqual(
    grant?.keys.map(keys => keys.handover),
    ['', ''],
  );
});

test('adjacent ranges with one token are merged, and rows beyond the response size limit are left out', t => {
  const bench = new Bench();
  bench.slices = [FIRST, {...SECOND, token: 3, handover: ''}];
  const grant = bench.grants.answerHeartbeat(NOTHING, true, 0);
  t.deepEqual(grant?.keys, [{first: 0, last: 65_535, token: 3, handover: ''}]);
  t.true(bench.grants.isGranted(FIRST));
  // Large enough for one row without handover data.
  const small = new Bench(20);
  const bounded = small.grants.answerHeartbeat(NOTHING, true, 0);
  t.is(bounded?.keys.length, 1);
  t.is(small.grants.getLeftOutRows(), 1);
  t.false(
    small.grants.isGranted(SECOND),
    'a row that was left out is not served',
  );
});

test('a daemon does not release part of a slice before it has seen the split', t => {
  const bench = new Bench();
  bench.assigned = [FIRST];
  bench.slices = [FIRST];
  t.true(bench.grants.hasLapsed());
  const part = {start: HALF, token: FIRST.token};
  const release = () => {
    bench.grants.requestRelease([part], () => {});
    return bench.grants.findReleased([part]);
  };
  t.deepEqual(release(), []);
  const grant = bench.grants.answerHeartbeat(NOTHING, true, 0);
  t.deepEqual(grant?.keys, [{first: 0, last: 65_535, token: 3, handover: ''}]);
  bench.grants.answerHeartbeat(NOTHING, true, 0);
  t.deepEqual(release(), [], 'the server holds the keys');
  bench.assigned = [FIRST, createSlice(HALF, FIRST.token)];
  bench.slices = bench.assigned;
  t.deepEqual(release(), [], 'the keys can still be granted');
});

test('a slice that is split during its release is released without the remaining part', t => {
  const bench = new Bench();
  bench.assigned = [FIRST];
  bench.slices = [FIRST];
  bench.grants.answerHeartbeat(NOTHING, true, 0);
  bench.grants.requestRelease([FIRST], () => {
    bench.slices = [];
  });
  const held = [{first: 0, last: 65_535, token: FIRST.token}];
  bench.grants.answerHeartbeat({held, freed: []}, true, 0);
  const part = createSlice(HALF, FIRST.token);
  bench.assigned = [FIRST, part];
  bench.slices = [part];
  const kept = [{first: 32_768, last: 65_535, token: FIRST.token}];
  const freed = [{first: 0, last: 32_767, handover: 'abc'}];
  bench.grants.answerHeartbeat({held: kept, freed}, true, 0);
  t.deepEqual(bench.grants.findReleased([FIRST]), [
    {...FIRST, handover: 'abc'},
  ]);
  t.false(bench.grants.isReleasing());
});

test('a release that was requested is listed until the slice has another token', t => {
  const bench = new Bench();
  t.deepEqual(bench.grants.listRequestedReleases(), []);
  bench.requestRelease();
  t.deepEqual(bench.grants.listRequestedReleases(), [FIRST]);
  bench.assigned = [{...FIRST, token: 9}, SECOND];
  t.deepEqual(bench.grants.listRequestedReleases(), []);
});
