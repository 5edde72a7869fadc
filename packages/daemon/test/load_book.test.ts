/**
 * Tests of the coordinator's record of load, and of the messages that bring it.
 */
import {fromBinary, toBinary} from '@bufbuild/protobuf';
import test from 'ava';

import type {System} from '@dottereldrift/core/system.js';
import type {LoadReport} from '@dottereldrift/ownership/load_types.js';
import {createSlices} from '@dottereldrift/ownership/slices.js';
import type {Assignment} from '@dottereldrift/ownership/types.js';
import {ReportLoadRequestSchema} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';

import {getReportIntervalMs, LoadBook} from '../src/load_book.js';
import {encodeReport, parseReport} from '../src/load_codec.js';

const FIRST = {host: 'h1', incarnation: 'a'};
const SECOND = {host: 'h2', incarnation: 'a'};
const MAX_REPORT_BYTES = 700;

class ManualSystem implements System {
  nowMs = 0;

  getNow() {
    return {monotonicMs: this.nowMs, wallMs: this.nowMs};
  }

  startTimer() {
    return () => {};
  }

  getRandom() {
    return 0.5;
  }

  createId() {
    return 'id';
  }
}

const REPORT_MS = 2_000;

function createAssignment(): Assignment {
  const slices = createSlices(4).map((slice, index) => ({
    ...slice,
    owner: index < 2 ? FIRST : SECOND,
    token: 1,
  }));
  return {service: 'menu', generation: 1, slices, writer: FIRST};
}

function createReport(owner: typeof FIRST, rate: number): LoadReport {
  return {
    service: 'menu',
    owner,
    settledToken: 1,
    segments: [],
    restDensity: rate / 2 ** 31,
    hotPositions: [],
  };
}

test('load is known once every owner has reported', t => {
  const book = new LoadBook(new ManualSystem(), REPORT_MS);
  const assignment = createAssignment();
  t.is(book.readProfile('menu', assignment), undefined);
  book.receiveReport(createReport(FIRST, 10));
  t.is(book.readProfile('menu', assignment), undefined);
  book.receiveReport(createReport(SECOND, 30));
  const rates = book
    .readProfile('menu', assignment)
    ?.segments.map(segment => segment.rate);
  t.deepEqual(rates, [5, 5, 15, 15]);
});

test('an owner that stays silent is taken to have no load in the end', t => {
  const system = new ManualSystem();
  const book = new LoadBook(system, REPORT_MS);
  const assignment = createAssignment();
  book.receiveReport(createReport(FIRST, 10));
  t.is(book.readProfile('menu', assignment), undefined);
  system.nowMs = 3 * getReportIntervalMs(2, REPORT_MS);
  const profile = book.readProfile('menu', assignment);
  t.deepEqual(
    profile?.segments.map(segment => segment.rate),
    [5, 5, 0, 0],
  );
  t.is(book.readProfile('menu', assignment), profile);
});

test('a coordinator that takes over does not plan from what was reported to it long ago', t => {
  const system = new ManualSystem();
  const book = new LoadBook(system, REPORT_MS);
  const assignment = createAssignment();
  book.receiveReport(createReport(FIRST, 10));
  system.nowMs = 6 * getReportIntervalMs(2, REPORT_MS);
  t.is(book.readProfile('menu', assignment), undefined);
  book.receiveReport(createReport(FIRST, 10));
  t.is(book.readProfile('menu', assignment), undefined);
  book.receiveReport(createReport(SECOND, 30));
  const profile = book.readProfile('menu', assignment);
  t.deepEqual(
    profile?.segments.map(segment => segment.rate),
    [5, 5, 15, 15],
  );
});

test('a full report survives its message and is small', t => {
  const report: LoadReport = {
    ...createReport(FIRST, 64),
    settledToken: Number.MAX_SAFE_INTEGER,
    segments: Array.from({length: 32}, (_, index) => ({
      start: index * 2 ** 27,
      end: (index + 1) * 2 ** 27,
      rate: index,
    })),
    hotPositions: Array.from({length: 16}, (_, index) => ({
      position: 2 ** 32 - 1 - index,
      rate: index,
    })),
  };
  const bytes = toBinary(ReportLoadRequestSchema, encodeReport(report));
  t.true(bytes.byteLength <= MAX_REPORT_BYTES);
  const read = parseReport(fromBinary(ReportLoadRequestSchema, bytes));
  t.deepEqual(read, report);
});
