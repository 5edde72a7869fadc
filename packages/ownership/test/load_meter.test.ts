/**
 * Tests of what owners observe and report, and of the profile that is made of it.
 */
import test from 'ava';
import fc from 'fast-check';

import {HotPositions} from '../src/hot_positions.js';
import {
  LoadMeter,
  MAX_REPORTED_POSITIONS,
  MAX_REPORTED_SEGMENTS,
  STEADY_PACE,
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

/** Sends an even load with one request in four to the hot position. */
function sendLoad(
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
    meter.addRequest(start, position, nowMs);
  }
}

function sumRates(rates: readonly number[]): number {
  return Math.round(rates.reduce((sum, rate) => sum + rate, 0));
}

test('reports are bounded and add up to the load', t => {
  for (const endMs of [6_000, 3 * STEADY_PACE.decayMs]) {
    const assignment = createAssignment(200);
    const meter = new LoadMeter(0);
    meter.applyAssignment(assignment, SELF, 0);
    sendLoad(meter, assignment.slices, endMs);
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

test('what a new owner does not know yet stays as the last one had it', t => {
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

test('cut and merged slices keep what was counted', t => {
  const assignment = createAssignment(2);
  const meter = new LoadMeter(0);
  meter.applyAssignment(assignment, SELF, 0);
  sendLoad(meter, assignment.slices, 10_000);
  const cut = {
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
  t.true(Math.abs(read(cut) - whole) <= 1);
  t.true(Math.abs(read(assignment) - whole) <= 1);
});

test('the sketch never claims more than was counted, and misses no heavy position', t => {
  const capacity = 8;
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 0, max: 30}), {maxLength: 400}),
      positions => {
        const sketch = new HotPositions(capacity);
        const counts = new Map<number, number>();
        for (const position of positions) {
          sketch.addWeight(position, 1);
          counts.set(position, (counts.get(position) ?? 0) + 1);
        }
        const hottest = sketch.listHottest(capacity, 0);
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
