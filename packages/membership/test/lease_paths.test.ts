/**
 * Long random paths through the model of leases, with finer steps of time and more faults at once
 * than the exhaustive walk can hold.
 */
import test from 'ava';
import fc from 'fast-check';

import {
  type Bounds,
  createWorld,
  isViolated,
  listActions,
  type Rule,
} from './lease_model.js';

const BOUNDS: Bounds = {
  tickMs: 300,
  setChanges: 3,
  writes: 8,
  messages: 5,
  isDuplicating: true,
  takers: 2,
  clockFaults: 6,
  isCombiningFaults: true,
  restarts: 2,
  off: new Set(),
};
const SEED = 20_261;
const RUNS = 1_600;
const MAX_STEPS = 120;

/** Follows a path until a state in which two members may own the same key; returns its steps. */
function findFault(
  choices: readonly number[],
  bounds: Bounds,
): readonly string[] | undefined {
  const path: string[] = [];
  let world = createWorld(bounds);
  for (const choice of choices) {
    const actions = listActions(world, bounds);
    const action = actions[choice % Math.max(1, actions.length)];
    if (action === undefined) return undefined;
    path.push(action.name);
    world = action.next();
    if (isViolated(world, bounds)) return path;
  }
  return undefined;
}

function checkPaths(bounds: Bounds) {
  const choices = fc.array(fc.nat(), {
    minLength: MAX_STEPS / 2,
    maxLength: MAX_STEPS,
    size: 'max',
  });
  const property = fc.property(
    choices,
    path => findFault(path, bounds) === undefined,
  );
  return fc.check(property, {seed: SEED, numRuns: RUNS, endOnFailure: true});
}

test('no random path ends a session whose holder believes in its lease', t => {
  const details = checkPaths(BOUNDS);
  t.false(details.failed, String(details.counterexample));
});

const FOUND_BY_CHANCE: readonly Rule[] = [
  'joint-majority',
  'fence-is-final',
  'witness-waits-for-holder',
  'update-at-voted-version',
];

for (const rule of FOUND_BY_CHANCE) {
  test(`random paths find what happens without the rule ${rule}`, t => {
    t.true(checkPaths({...BOUNDS, off: new Set([rule])}).failed);
  });
}
