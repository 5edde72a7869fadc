/**
 * Tests how the coordinator derives load from reports, and the encoding of the reports.
 */
import {fromBinary, toBinary} from '@bufbuild/protobuf';
import test from 'ava';

import type {System} from '@dottereldrift/core/system.js';
import type {LoadReport} from '@dottereldrift/ownership/load_types.js';
import {createSlices} from '@dottereldrift/ownership/slices.js';
import type {Assignment} from '@dottereldrift/ownership/types.js';
import {ReportLoadRequestSchema} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';

import {getReportIntervalMs, LoadTracker} from '../src/load_tracker.js';
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

test('the load profile is available once every owner has reported', t => {
  const loads = new LoadTracker(new ManualSystem(), REPORT_MS);
  const assignment = createAssignment();
  t.is(loads.readProfile('menu', assignment), undefined);
  loads.receiveReport(createReport(FIRST, 10));
  t.is(loads.readProfile('menu', assignment), undefined);
  loads.receiveReport(createReport(SECOND, 30));
  const rates = loads
    .readProfile('menu', assignment)
    ?.segments.map(segment => segment.rate);
  t.deepEqual(rates, [5, 5, 15, 15]);
});

test('the mean capacity is that of the present owners, not of hosts that left', t => {
  const loads = new LoadTracker(new ManualSystem(), REPORT_MS);
  const left = {host: 'h3', incarnation: 'a'};
  loads.receiveReport({...createReport(FIRST, 10), capacity: 20});
  loads.receiveReport({...createReport(left, 10), capacity: 200});
  const owners = [FIRST, SECOND];
  const expected = new Map([
    [FIRST.host, 20],
    [SECOND.host, 20],
  ]);
  t.deepEqual(loads.getCapacities('menu', owners), expected);
  loads.removeAbsentHosts('menu', owners);
  // A host that returns is measured anew.
  const returned = loads.getCapacities('menu', [FIRST, left]);
  t.is(returned?.get(left.host), 20);
});

test('an owner that does not report counts as having no load after the time limit', t => {
  const system = new ManualSystem();
  const loads = new LoadTracker(system, REPORT_MS);
  const assignment = createAssignment();
  loads.receiveReport(createReport(FIRST, 10));
  t.is(loads.readProfile('menu', assignment), undefined);
  system.nowMs = 3 * getReportIntervalMs(2, REPORT_MS);
  const profile = loads.readProfile('menu', assignment);
  t.deepEqual(
    profile?.segments.map(segment => segment.rate),
    [5, 5, 0, 0],
  );
  t.is(loads.readProfile('menu', assignment), profile);
});

test('a coordinator that takes over does not plan from outdated reports', t => {
  const system = new ManualSystem();
  const loads = new LoadTracker(system, REPORT_MS);
  const assignment = createAssignment();
  loads.receiveReport(createReport(FIRST, 10));
  system.nowMs = 6 * getReportIntervalMs(2, REPORT_MS);
  t.is(loads.readProfile('menu', assignment), undefined);
  loads.receiveReport(createReport(FIRST, 10));
  t.is(loads.readProfile('menu', assignment), undefined);
  loads.receiveReport(createReport(SECOND, 30));
  const profile = loads.readProfile('menu', assignment);
  t.deepEqual(
    profile?.segments.map(segment => segment.rate),
    [5, 5, 15, 15],
  );
});

test('a full report is encoded and decoded without loss, within the size limit', t => {
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
  const decoded = parseReport(fromBinary(ReportLoadRequestSchema, bytes));
  t.deepEqual(decoded, report);
});
