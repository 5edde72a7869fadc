/**
 * Explores long random paths through the lease model, with finer time steps and more concurrent faults than
 * the exhaustive exploration can cover.
 */
import test from 'ava';
import fc from 'fast-check';

import {
  type ModelBounds,
  createModelState,
  hasViolation,
  listActions,
  type SafetyRule,
} from './lease_model.js';

const BOUNDS: ModelBounds = {
  tickMs: 300,
  setChanges: 3,
  writes: 8,
  messages: 5,
  isDuplicatingAnswers: true,
  takeoverMembers: 2,
  clockFaults: 6,
  isCombiningClockFaults: true,
  restarts: 2,
  returns: 0,
  mayLackSession: false,
  informed: 'nobody',
  disabledRules: new Set(),
};
const SEED = 20_261;
const RUNS = 1_600;
const MAX_STEPS = 120;

/** Follows a path to a state in which two members may own the same key. Returns its steps, if any. */
function findViolation(
  choices: readonly number[],
  bounds: ModelBounds,
): readonly string[] | undefined {
  const path: string[] = [];
  let state = createModelState(bounds);
  for (const choice of choices) {
    const actions = listActions(state, bounds);
    const action = actions[choice % Math.max(1, actions.length)];
    if (action === undefined) return undefined;
    path.push(action.name);
    state = action.next();
    if (hasViolation(state, bounds)) return path;
  }
  return undefined;
}

function checkPaths(bounds: ModelBounds) {
  const choices = fc.array(fc.nat(), {
    minLength: MAX_STEPS / 2,
    maxLength: MAX_STEPS,
    size: 'max',
  });
  const property = fc.property(
    choices,
    path => findViolation(path, bounds) === undefined,
  );
  return fc.check(property, {seed: SEED, numRuns: RUNS, endOnFailure: true});
}

test('no random path ends a session while its holder considers its lease valid', t => {
  const details = checkPaths(BOUNDS);
  t.false(details.failed, String(details.counterexample));
});

const RULES_FOUND_BY_RANDOM_PATHS: readonly SafetyRule[] = [
  'joint-majority',
  'fence-is-final',
  'witness-waits-for-holder',
  'update-at-voted-version',
];

for (const rule of RULES_FOUND_BY_RANDOM_PATHS) {
  test(`random paths find a violation without the rule ${rule}`, t => {
    t.true(checkPaths({...BOUNDS, disabledRules: new Set([rule])}).failed);
  });
}
