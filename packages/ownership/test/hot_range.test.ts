/**
 * Simulates load on adjacent keys none of which is hot by itself, using the real load meters and placement
 * plans. Guards against one owner keeping far more than its share because no single position is hot enough
 * to be isolated.
 */
import test from 'ava';
import fc from 'fast-check';

import {RING_SIZE} from '@dottereldrift/core/ring_hash.js';

import {findKeyPosition, RANGE_KEY_COUNT} from '../src/key_range.js';
import {LoadBins} from '../src/load_bins.js';
import {LoadMeter} from '../src/load_meter.js';
import {applyReports, EMPTY_PROFILE} from '../src/load_profile.js';
import type {LoadProfile} from '../src/load_types.js';
import {findSlice} from '../src/slices.js';
import type {Assignment} from '../src/types.js';
import {createInput, createMembers, planUntilStable} from './fleet_model.js';

const OWNERS = 5;
/** Request rate of the whole service, equal to the capacity of its owners. */
const REQUESTS_PER_SECOND = 300;
/** Time within which the load of a new hot range must be spread, in milliseconds. */
const SPREAD_LIMIT_MS = 2_000;
/**
 * Maximum load of the busiest owner after that time, relative to its fair share. The production load
 * fluctuates by as much, so servers have this headroom.
 */
const MAX_RELATIVE_LOAD = 1.55;
/** Duration of even load before the range becomes hot, in milliseconds. */
const EVEN_LOAD_MS = 3_000;
const SIMULATED_MS = 8_000;

/** Additional load on adjacent keys. */
interface HotRange {
  readonly firstKey: number;
  readonly keys: number;
  /** Share of all requests that go to the range. */
  readonly share: number;
}

/** Meter and report timing of the production platform. */
const PLATFORM_TIMING = {decayMs: 1_500, settleMs: 500, reportMs: 500};

const WIDE: HotRange = {firstKey: 20_100, keys: 200, share: 0.4};
const NARROW: HotRange = {firstKey: 41_000, keys: 60, share: 0.45};

/** Returns the keys requested in one report interval: evenly distributed keys, plus keys of the hot range. */
function listKeys(
  round: number,
  count: number,
  hotRange: HotRange | undefined,
): readonly number[] {
  return Array.from({length: count}, (_, index) => {
    const serial = round * count + index;
    const isHot =
      hotRange !== undefined &&
      Math.floor((index + 1) * hotRange.share) >
        Math.floor(index * hotRange.share);
    return hotRange !== undefined && isHot
      ? hotRange.firstKey + ((serial * 7) % hotRange.keys)
      : (serial * 40_503) % RANGE_KEY_COUNT;
  });
}

/** Returns the number of requests to the busiest owner. */
function countBusiest({slices}: Assignment, keys: readonly number[]): number {
  const counts = new Map<string, number>();
  for (const key of keys) {
    const position = findKeyPosition(String(key)) ?? 0;
    const host = findSlice(slices, position)?.owner?.host ?? '';
    counts.set(host, (counts.get(host) ?? 0) + 1);
  }
  return Math.max(...counts.values());
}

/**
 * Simulates load, reports and moves. Returns the load of the busiest owner relative to its fair share for
 * each report interval. Moves planned in one interval take effect at the start of the next.
 */
function runHotRange(
  hotRange: HotRange,
  timing: typeof PLATFORM_TIMING,
): readonly number[] {
  const members = createMembers(OWNERS);
  const fairCount = (REQUESTS_PER_SECOND * timing.reportMs) / 1_000 / OWNERS;
  let assignment = planUntilStable(createInput(members));
  let profile: LoadProfile = EMPTY_PROFILE;
  const meters = members.map(member => {
    const meter = new LoadMeter(0, timing);
    meter.applyAssignment(assignment, member, 0);
    return {member, meter};
  });
  const busiest: number[] = [];
  for (let round = 0; round < SIMULATED_MS / timing.reportMs; round++) {
    const startMs = round * timing.reportMs;
    const present = startMs >= EVEN_LOAD_MS ? hotRange : undefined;
    const keys = listKeys(round, fairCount * OWNERS, present);
    keys.forEach((key, index) => {
      const nowMs = startMs + (index / keys.length) * timing.reportMs;
      const position = findKeyPosition(String(key)) ?? 0;
      const slice = findSlice(assignment.slices, position);
      meters
        .find(({member}) => member.host === slice?.owner?.host)
        ?.meter.addRequests(slice?.start ?? 0, position, 1, nowMs);
    });
    busiest.push(countBusiest(assignment, keys) / fairCount);
    const nowMs = startMs + timing.reportMs;
    const reports = meters.map(({member, meter}) =>
      meter.readReport('menu', member, nowMs),
    );
    profile = applyReports(profile, assignment, reports);
    assignment = planUntilStable(
      createInput(members, {present: assignment, profile, maxDeviation: 0.2}),
    );
    for (const {member, meter} of meters)
      meter.applyAssignment(assignment, member, nowMs);
  }
  return busiest;
}

for (const [name, hotRange] of Object.entries({WIDE, NARROW})) {
  test(`load on adjacent keys is spread over owners within seconds: ${name}`, t => {
    const busiest = runHotRange(hotRange, PLATFORM_TIMING);
    const firstHot = EVEN_LOAD_MS / PLATFORM_TIMING.reportMs;
    const text = busiest.map(value => value.toFixed(2)).join(' ');
    t.true(
      (busiest[firstHot] ?? 0) > 2,
      `one owner has the hot keys at first: ${text}`,
    );
    const spread = busiest.slice(
      firstHot + SPREAD_LIMIT_MS / PLATFORM_TIMING.reportMs,
    );
    // Averages over one second, because a single interval has too few requests.
    const seconds = spread
      .slice(1)
      .map((value, index) => (value + (spread[index] ?? 0)) / 2);
    t.true(Math.max(...seconds) <= MAX_RELATIVE_LOAD, text);
  });
}

test('merged bins preserve the total weight and its position', t => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 0, max: 999}), {maxLength: 50}),
      fc.integer({min: 1, max: 999}),
      (positions, middle) => {
        const whole = new LoadBins(0, 1_000);
        for (const position of positions) whole.addWeight(position, 1);
        const left = new LoadBins(0, middle);
        const right = new LoadBins(middle, 1_000);
        left.mergeBins(whole);
        right.mergeBins(whole);
        const sum = left.getTotal() + right.getTotal();
        const binWidth = 21;
        const below = positions.filter(one => one < middle - binWidth).length;
        return (
          Math.abs(sum - positions.length) < 1e-6 &&
          left.getTotal() >= below - 1e-6
        );
      },
    ),
    {seed: 5, numRuns: 200},
  );
  t.is(new LoadBins(0, RING_SIZE).listBins().length, 48);
});
