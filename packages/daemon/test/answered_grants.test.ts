/**
 * Tests of grants that travel in the answers to heartbeats.
 */
import test from 'ava';

import {RING_SIZE} from '@dottereldrift/core/ring_hash.js';
import type {Instant} from '@dottereldrift/core/types.js';
import type {
  Assignment,
  Slice,
  SliceRef,
} from '@dottereldrift/ownership/types.js';

import {AnsweredGrants, type HoldReport} from '../src/answered_grants.js';
import {ManualSystem} from './fakes.js';

const LEASE_MS = 9_000;
const HOLD_MS = 8_820;
/** A server's clock that runs 2% slow. */
const SLOW_PACE = 0.98;
const SELF = {host: 'h1', incarnation: 'a'};
const HALF = RING_SIZE / 2;
const FIRST: Slice = createSlice(0, 3);
const SECOND: Slice = {...createSlice(HALF, 4), handover: 'warm'};
const NOTHING: HoldReport = {held: [], freed: []};

function createSlice(start: number, token: number): Slice {
  return {start, owner: SELF, token, nextOwner: undefined, recordsSince: 0};
}

class Bench {
  readonly system = new ManualSystem();
  assigned: readonly Slice[] = [FIRST, SECOND];
  slices: readonly Slice[] = [FIRST, SECOND];
  stopped: SliceRef[] = [];
  leaseEnd: Instant | undefined;
  readonly book: AnsweredGrants;

  constructor(maxGrantBytes = 4_000, earlierGrantsMs = -Infinity) {
    this.book = new AnsweredGrants(
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
      this.system.getNow().monotonicMs + earlierGrantsMs,
    );
  }

  askRelease(): void {
    this.book.askRelease([FIRST], refs => {
      this.stopped.push(...refs);
      this.slices = [SECOND];
    });
  }

  private addLease(): Instant {
    const {monotonicMs, wallMs} = this.system.getNow();
    return {monotonicMs: monotonicMs + LEASE_MS, wallMs: wallMs + LEASE_MS};
  }
}

test('an answer lists every slice by its keys and ends, on a slow clock too, within the lease', t => {
  const bench = new Bench();
  t.false(bench.book.isGranted(FIRST));
  const grant = bench.book.answerReport(NOTHING, true, 0);
  t.deepEqual(grant, {
    holdMs: HOLD_MS,
    keys: [
      {first: 0, last: 32_767, token: 3, handover: ''},
      {first: 32_768, last: 65_535, token: 4, handover: 'warm'},
    ],
  });
  t.true(bench.book.isGranted(FIRST));
  t.true(HOLD_MS / SLOW_PACE <= LEASE_MS);
  bench.system.shift(LEASE_MS - 1);
  t.false(bench.book.isGranted(FIRST));
  t.false(bench.book.hasLapsed());
  bench.system.shift(1);
  t.true(bench.book.hasLapsed());
});

test('a grant that was held back a moment counts from when the heartbeat was received', t => {
  const bench = new Bench();
  const waitedMs = 300;
  const {monotonicMs, wallMs} = bench.system.getNow();
  bench.leaseEnd = {
    monotonicMs: monotonicMs + LEASE_MS - waitedMs,
    wallMs: wallMs + LEASE_MS - waitedMs,
  };
  const grant = bench.book.answerReport(NOTHING, true, 0, waitedMs);
  t.is(grant?.holdMs, HOLD_MS);
  bench.system.shift(HOLD_MS - waitedMs - 50);
  t.false(bench.book.isGranted(FIRST), 'the server counts from its heartbeat');
  bench.system.shift(LEASE_MS - HOLD_MS + 50);
  t.true(bench.book.hasLapsed());
});

test('a lease that has ended by either clock grants nothing', t => {
  const bench = new Bench();
  const {monotonicMs, wallMs} = bench.system.getNow();
  bench.leaseEnd = {monotonicMs: monotonicMs + LEASE_MS, wallMs: wallMs - 1};
  t.is(bench.book.answerReport(NOTHING, true, 0), undefined);
  bench.leaseEnd = {monotonicMs: monotonicMs - 1, wallMs: wallMs + LEASE_MS};
  t.is(bench.book.answerReport(NOTHING, true, 0), undefined);
  t.true(bench.book.hasLapsed());
});

test('a new life of the server gets no slice under a token that an earlier life may hold', t => {
  const bench = new Bench();
  const grant = bench.book.answerReport(NOTHING, true, 3);
  t.deepEqual(
    grant?.keys.map(keys => keys.token),
    [4],
  );
  t.false(bench.book.isGranted(FIRST));
});

test('a slice is released once a later heartbeat no longer holds it, with its handover', t => {
  const bench = new Bench();
  bench.book.answerReport(NOTHING, true, 0);
  bench.askRelease();
  t.deepEqual(bench.stopped, [], 'admission goes on until the heartbeat');
  t.deepEqual(bench.book.findReleased([FIRST]), []);
  const held = [{first: 0, last: 32_767, token: 3}];
  bench.book.answerReport({held, freed: []}, true, 0);
  t.is(bench.stopped.length, 1);
  t.deepEqual(bench.book.findReleased([FIRST]), []);
  bench.book.answerReport({held, freed: []}, true, 0);
  t.deepEqual(bench.book.findReleased([FIRST]), [], 'it is still at work');
  const freed = [{first: 0, last: 32_767, handover: 'abc'}];
  bench.book.answerReport({held: [], freed}, true, 0);
  t.deepEqual(bench.book.findReleased([FIRST]), [{...FIRST, handover: 'abc'}]);
});

test('a silent server loses a slice when its grants end', t => {
  const bench = new Bench();
  bench.book.answerReport(NOTHING, true, 0);
  bench.askRelease();
  bench.system.shift(LEASE_MS);
  bench.askRelease();
  t.is(bench.stopped.length, 1);
  t.deepEqual(bench.book.findReleased([FIRST]), [FIRST]);
});

test('grants of the run before this process count until its lease has ended', t => {
  const bench = new Bench(4_000, LEASE_MS);
  t.false(bench.book.hasLapsed());
  bench.askRelease();
  t.deepEqual(bench.book.findReleased([FIRST]), []);
  bench.system.shift(LEASE_MS);
  t.true(bench.book.hasLapsed());
});

test('a handover is said until the server holds its keys', t => {
  const bench = new Bench();
  const held = [{first: 32_768, last: 65_535, token: 4}];
  const grant = bench.book.answerReport({held, freed: []}, true, 0);
  t.deepEqual(
    grant?.keys.map(keys => keys.handover),
    ['', ''],
  );
});

test('neighbouring keys of one token are one row, and rows beyond the room of an answer are left out', t => {
  const bench = new Bench();
  bench.slices = [FIRST, {...SECOND, token: 3, handover: ''}];
  const grant = bench.book.answerReport(NOTHING, true, 0);
  t.deepEqual(grant?.keys, [{first: 0, last: 65_535, token: 3, handover: ''}]);
  t.true(bench.book.isGranted(FIRST));
  // Room for one row without a handover.
  const small = new Bench(20);
  const bounded = small.book.answerReport(NOTHING, true, 0);
  t.is(bounded?.keys.length, 1);
  t.is(small.book.getLeftOutRows(), 1);
  t.false(small.book.isGranted(SECOND), 'what is left out is not served');
});

test('a slice that was cut out meanwhile is not released by a daemon that does not know of the cut', t => {
  const bench = new Bench();
  bench.assigned = [FIRST];
  bench.slices = [FIRST];
  t.true(bench.book.hasLapsed());
  const part = {start: HALF, token: FIRST.token};
  const release = () => {
    bench.book.askRelease([part], () => {});
    return bench.book.findReleased([part]);
  };
  t.deepEqual(release(), []);
  const grant = bench.book.answerReport(NOTHING, true, 0);
  t.deepEqual(grant?.keys, [{first: 0, last: 65_535, token: 3, handover: ''}]);
  bench.book.answerReport(NOTHING, true, 0);
  t.deepEqual(release(), [], 'the server holds the keys');
  bench.assigned = [FIRST, createSlice(HALF, FIRST.token)];
  bench.slices = bench.assigned;
  t.deepEqual(release(), [], 'they are still offered');
});

test('a slice that is cut while it is let go is released without the part that stays', t => {
  const bench = new Bench();
  bench.assigned = [FIRST];
  bench.slices = [FIRST];
  bench.book.answerReport(NOTHING, true, 0);
  bench.book.askRelease([FIRST], () => {
    bench.slices = [];
  });
  const held = [{first: 0, last: 65_535, token: FIRST.token}];
  bench.book.answerReport({held, freed: []}, true, 0);
  const part = createSlice(HALF, FIRST.token);
  bench.assigned = [FIRST, part];
  bench.slices = [part];
  const kept = [{first: 32_768, last: 65_535, token: FIRST.token}];
  const freed = [{first: 0, last: 32_767, handover: 'abc'}];
  bench.book.answerReport({held: kept, freed}, true, 0);
  t.deepEqual(bench.book.findReleased([FIRST]), [{...FIRST, handover: 'abc'}]);
  t.false(bench.book.isReleasing());
});
