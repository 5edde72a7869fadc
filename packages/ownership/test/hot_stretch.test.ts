/**
 * Plays load on neighbouring keys, none of which is hot alone, through the owners' meters and the plan,
 * and checks that no owner is left with much more than its share.
 */
import test from 'ava';
import fc from 'fast-check';

import {RING_SIZE} from '@dottereldrift/core/ring_hash.js';

import {findKeyPosition, RANGE_KEYS} from '../src/key_range.js';
import {LoadBins} from '../src/load_bins.js';
import {LoadMeter} from '../src/load_meter.js';
import {applyReports, EMPTY_PROFILE} from '../src/load_profile.js';
import type {LoadProfile} from '../src/load_types.js';
import {findSlice} from '../src/slices.js';
import type {Assignment} from '../src/types.js';
import {createInput, createMembers, planUntilSettled} from './fleet_model.js';

const PACE = {decayMs: 4_000, settleMs: 1_500};
const REPORT_MS = 1_000;
const REQUESTS_PER_REPORT = 300;
const OWNERS = 5;
const FIRST_HOT_KEY = 20_100;
const HOT_KEYS = 200;
/** Every third request goes to the hot keys. */
const HOT_STEP = 3;

/** Returns the keys that are asked for between two reports: evenly over all keys, and hot ones. */
function listKeys(round: number): readonly number[] {
  return Array.from({length: REQUESTS_PER_REPORT}, (_, index) => {
    const serial = round * REQUESTS_PER_REPORT + index;
    if (index % HOT_STEP === 0)
      return FIRST_HOT_KEY + ((serial * 7) % HOT_KEYS);
    return (serial * 40_503) % RANGE_KEYS;
  });
}

/** Returns the requests of each owner in one round. */
function countByOwner(
  {slices}: Assignment,
  round: number,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const key of listKeys(round)) {
    const position = findKeyPosition(String(key)) ?? 0;
    const host = findSlice(slices, position)?.owner?.host ?? '';
    counts.set(host, (counts.get(host) ?? 0) + 1);
  }
  return counts;
}

test('load on neighbouring keys is spread over the owners within seconds', t => {
  const members = createMembers(OWNERS);
  let assignment = planUntilSettled(createInput(members));
  let profile: LoadProfile = EMPTY_PROFILE;
  const meters = members.map(member => {
    const meter = new LoadMeter(0, PACE);
    meter.applyAssignment(assignment, member, 0);
    return {member, meter};
  });
  const busiest: number[] = [];
  for (let round = 0; round < 8; round++) {
    listKeys(round).forEach((key, index) => {
      const nowMs = (round + index / REQUESTS_PER_REPORT) * REPORT_MS;
      const position = findKeyPosition(String(key)) ?? 0;
      const slice = findSlice(assignment.slices, position);
      meters
        .find(({member}) => member.host === slice?.owner?.host)
        ?.meter.addRequest(slice?.start ?? 0, position, nowMs);
    });
    const nowMs = (round + 1) * REPORT_MS;
    busiest.push(Math.max(...countByOwner(assignment, round).values()));
    const reports = meters.map(({member, meter}) =>
      meter.readReport('menu', member, nowMs),
    );
    profile = applyReports(profile, assignment, reports);
    assignment = planUntilSettled(
      createInput(members, {present: assignment, profile}),
    );
    for (const {member, meter} of meters)
      meter.applyAssignment(assignment, member, nowMs);
  }
  const fair = REQUESTS_PER_REPORT / OWNERS;
  t.true((busiest[0] ?? 0) > 2 * fair, 'one owner has the hot keys at first');
  t.true((busiest[7] ?? 0) <= 1.25 * fair, busiest.join(' '));
});

test('bins keep the weight that they take over, and where it lies', t => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 0, max: 999}), {maxLength: 50}),
      fc.integer({min: 1, max: 999}),
      (positions, middle) => {
        const whole = new LoadBins(0, 1_000);
        for (const position of positions) whole.addWeight(position, 1);
        const left = new LoadBins(0, middle);
        const right = new LoadBins(middle, 1_000);
        left.takeOver(whole);
        right.takeOver(whole);
        const sum = left.getTotal() + right.getTotal();
        const binWidth = 63;
        const below = positions.filter(one => one < middle - binWidth).length;
        return (
          Math.abs(sum - positions.length) < 1e-6 &&
          left.getTotal() >= below - 1e-6
        );
      },
    ),
    {seed: 5, numRuns: 200},
  );
  t.is(new LoadBins(0, RING_SIZE).listBins().length, 16);
});
