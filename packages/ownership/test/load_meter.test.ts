/**
 * Tests of load meters, load reports, load profiles and the heavy-hitter sketch.
 */
import test from 'ava';
import fc from 'fast-check';

import {HeavyHitterSketch} from '../src/hot_positions.js';
import {
  LoadMeter,
  MAX_REPORTED_POSITIONS,
  MAX_REPORTED_SEGMENTS,
  DEFAULT_METER_TIMING,
} from '../src/load_meter.js';
import {
  applyReports,
  computeSliceRates,
  EMPTY_PROFILE,
} from '../src/load_profile.js';
import {createSlices, findSlice, isolatePosition} from '../src/slices.js';
import type {Assignment} from '../src/types.js';

const SELF = {host: 'h1', incarnation: 'a'};
const OTHER = {host: 'h2', incarnation: 'a'};
const HOT_POSITION = 99;
const RATE = 200;

function createAssignment(count: number): Assignment {
  const slices = createSlices(count).map((slice, index) => ({
    ...slice,
    owner: index % 2 === 0 ? SELF : OTHER,
    token: 1,
  }));
  return {service: 'menu', generation: 1, slices, writer: SELF};
}

/** Adds evenly distributed requests, one in four of them at the hot position. */
function addLoad(
  meter: LoadMeter,
  slices: Assignment['slices'],
  endMs: number,
) {
  const owned = slices.filter(slice => slice.owner === SELF);
  for (let index = 0; index < (endMs * RATE) / 1_000; index++) {
    const nowMs = (index * 1_000) / RATE;
    const slice = owned[index % owned.length];
    const position =
      index % 4 === 0 ? HOT_POSITION : (slice?.start ?? 0) + index;
    const start = findSlice(slices, position)?.start ?? 0;
    meter.addRequests(start, position, 1, nowMs);
  }
}

function sumRates(rates: readonly number[]): number {
  return Math.round(rates.reduce((sum, rate) => sum + rate, 0));
}

test('reports are bounded in size and add up to the load', t => {
  for (const endMs of [6_000, 3 * DEFAULT_METER_TIMING.decayMs]) {
    const assignment = createAssignment(200);
    const meter = new LoadMeter(0);
    meter.applyAssignment(assignment, SELF, 0);
    addLoad(meter, assignment.slices, endMs);
    const report = meter.readReport('menu', SELF, endMs);
    t.true(report.segments.length <= MAX_REPORTED_SEGMENTS);
    t.true(report.hotPositions.length <= MAX_REPORTED_POSITIONS);
    const [hottest] = report.hotPositions;
    t.is(hottest?.position, HOT_POSITION);
    t.true(Math.abs((hottest?.rate ?? 0) - RATE / 4) < 5);
    const profile = applyReports(EMPTY_PROFILE, assignment, [report]);
    const rates = computeSliceRates(profile, assignment.slices);
    t.true(Math.abs(sumRates(rates) - RATE) <= 4, `${sumRates(rates)}`);
  }
});

test('a slice that its new owner has not yet measured keeps its earlier rate', t => {
  const assignment = createAssignment(4);
  const profile = {
    segments: assignment.slices.map(({start}) => ({start, rate: 10})),
    hotPositions: [{position: HOT_POSITION, rate: 5}],
  };
  const moved = assignment.slices.map(slice =>
    slice.start === 0 ? {...slice, owner: OTHER, token: 2} : slice,
  );
  const meter = new LoadMeter(0);
  meter.applyAssignment(assignment, OTHER, 0);
  meter.applyAssignment({...assignment, slices: moved}, OTHER, 50_000);
  const report = meter.readReport('menu', OTHER, 51_000);
  t.is(report.settledToken, 1);
  const next = applyReports(profile, {...assignment, slices: moved}, [report]);
  t.deepEqual(next.hotPositions, profile.hotPositions);
  t.deepEqual(computeSliceRates(next, moved), [15, 0, 10, 0]);
});

test('split and merged slices keep their counts', t => {
  const assignment = createAssignment(2);
  const meter = new LoadMeter(0);
  meter.applyAssignment(assignment, SELF, 0);
  addLoad(meter, assignment.slices, 10_000);
  const split = {
    ...assignment,
    generation: 2,
    slices: isolatePosition(assignment.slices, HOT_POSITION),
  };
  const read = (present: Assignment) => {
    meter.applyAssignment(present, SELF, 10_000);
    const report = meter.readReport('menu', SELF, 10_000);
    const profile = applyReports(EMPTY_PROFILE, present, [report]);
    return sumRates(computeSliceRates(profile, present.slices));
  };
  const whole = read(assignment);
  t.is(read(assignment), whole);
  t.true(Math.abs(read(split) - whole) <= 1);
  t.true(Math.abs(read(assignment) - whole) <= 1);
});

test('the sketch never overestimates a weight and misses no heavy position', t => {
  const capacity = 8;
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 0, max: 30}), {maxLength: 400}),
      positions => {
        const sketch = new HeavyHitterSketch(capacity);
        const counts = new Map<number, number>();
        for (const position of positions) {
          sketch.addWeight(position, 1);
          counts.set(position, (counts.get(position) ?? 0) + 1);
        }
        const hottest = sketch.listHeaviest(capacity, 0);
        for (const {position, weight} of hottest) {
          if (weight > (counts.get(position) ?? 0)) return false;
        }
        const listed = new Set(hottest.map(hot => hot.position));
        return [...counts].every(
          ([position, count]) =>
            count <= positions.length / capacity || listed.has(position),
        );
      },
    ),
    {seed: 7, numRuns: 200},
  );
  t.pass();
});
