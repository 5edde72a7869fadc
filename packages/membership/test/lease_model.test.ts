/**
 * Explores all states of a small model of leases and checks that the exploration finds a violation if any one
 * of the safety rules is disabled.
 *
 * The larger models, each of which takes minutes, are explored only if the environment variable LEASE_MODEL is `full`.
 */
import test from 'ava';

import {
  type ModelBounds,
  createModelState,
  formatModelState,
  hasViolation,
  listActions,
  type SafetyRule,
  type ModelState,
} from './lease_model.js';

/** One tick equals the lease duration at its holder; two exceed the duration at a witness. */
const TICK_MS = 1_900;
/** Three ticks exceed the lease duration at a witness; two are shorter than the duration at its holder. */
const FINE_TICK_MS = 710;
const MAX_STATES = 2_000_000;

const BASE_BOUNDS: ModelBounds = {
  tickMs: TICK_MS,
  setChanges: 0,
  writes: 0,
  messages: 0,
  isDuplicatingAnswers: false,
  takeoverMembers: 1,
  clockFaults: 0,
  isCombiningClockFaults: false,
  restarts: 0,
  returns: 0,
  mayLackSession: false,
  informed: 'nobody',
  disabledRules: new Set(),
};
const SET_CHANGE_BOUNDS: ModelBounds = {
  ...BASE_BOUNDS,
  setChanges: 1,
  writes: 2,
};
const DELAY_BOUNDS: ModelBounds = {...BASE_BOUNDS, messages: 1, restarts: 1};
/** Single clock faults, each of which shows on one of the two clocks. */
const CLOCK_BOUNDS: ModelBounds = {
  ...BASE_BOUNDS,
  clockFaults: 2,
  disabledRules: new Set(['clocks-agree']),
};
const COMBINED_CLOCK_BOUNDS: ModelBounds = {
  ...CLOCK_BOUNDS,
  isCombiningClockFaults: true,
  disabledRules: new Set(),
};
const FINE_CLOCK_BOUNDS: ModelBounds = {
  ...COMBINED_CLOCK_BOUNDS,
  tickMs: FINE_TICK_MS,
};
const DELAYED_CLOCK_BOUNDS: ModelBounds = {...FINE_CLOCK_BOUNDS, messages: 1};
/** A store that returns once to any earlier state, and one write of the holder, so without writing again. */
const RETURN_BOUNDS: ModelBounds = {
  ...BASE_BOUNDS,
  setChanges: 1,
  writes: 1,
  returns: 1,
  mayLackSession: true,
  informed: 'witnesses',
};
const REWRITE_BOUNDS: ModelBounds = {...RETURN_BOUNDS, writes: 2};
const TAKER_BOUNDS: ModelBounds = {
  ...RETURN_BOUNDS,
  informed: 'takeover members',
};
const DELAYED_RETURN_BOUNDS: ModelBounds = {
  ...RETURN_BOUNDS,
  setChanges: 0,
  messages: 1,
  restarts: 1,
  mayLackSession: false,
};
const FULL_MODELS = {
  rewritten: REWRITE_BOUNDS,
  rewrittenTakers: {...TAKER_BOUNDS, writes: 2},
  returnedDelayed: DELAYED_RETURN_BOUNDS,
};
const MODELS = {
  changing: SET_CHANGE_BOUNDS,
  delayed: DELAY_BOUNDS,
  clocks: CLOCK_BOUNDS,
  combinedClocks: COMBINED_CLOCK_BOUNDS,
  fineClocks: FINE_CLOCK_BOUNDS,
  delayedClocks: DELAYED_CLOCK_BOUNDS,
  returned: RETURN_BOUNDS,
  ...(process.env['LEASE_MODEL'] === 'full' ? FULL_MODELS : {}),
};

interface Exploration {
  readonly states: number;
  /** Steps to a state in which two members may own the same key, or undefined if there is none. */
  readonly counterexample: readonly string[] | undefined;
}

interface VisitedState {
  readonly state: ModelState;
  readonly previous: VisitedState | undefined;
  readonly action: string;
}

function visitAllStates(bounds: ModelBounds): Exploration {
  const first = {
    state: createModelState(bounds),
    previous: undefined,
    action: '',
  };
  const seen = new Set([formatModelState(first.state)]);
  const queue: VisitedState[] = [first];
  for (let at = 0; at < queue.length; at++) {
    const visit = queue[at] as VisitedState;
    for (const {name, next} of listActions(visit.state, bounds)) {
      const state = next();
      const text = formatModelState(state);
      if (seen.has(text)) continue;
      seen.add(text);
      const reached = {state, previous: visit, action: name};
      if (hasViolation(state, bounds))
        return {states: seen.size, counterexample: listPath(reached)};
      queue.push(reached);
    }
    if (seen.size > MAX_STATES)
      throw new Error('The model has too many states.');
  }
  return {states: seen.size, counterexample: undefined};
}

function listPath(visit: VisitedState): readonly string[] {
  const path: string[] = [];
  for (
    let at: VisitedState | undefined = visit;
    at !== undefined;
    at = at.previous
  )
    if (at.action !== '') path.unshift(at.action);
  return path;
}

for (const [name, bounds] of Object.entries(MODELS)) {
  test(`no holder considers its lease valid after its session has ended: ${name}`, t => {
    const walk = visitAllStates(bounds);
    t.is(walk.counterexample, undefined);
    t.log(`${walk.states} states`);
  });
}

test('no holder considers its lease valid after its session has ended: returned before anyone has learnt of a set change', t => {
  const walk = visitAllStates({...RETURN_BOUNDS, informed: 'nobody'});
  t.deepEqual(walk.counterexample ?? [], []);
});

const RULES: ReadonlyArray<readonly [SafetyRule, ModelBounds]> = [
  ['joint-majority', SET_CHANGE_BOUNDS],
  ['old-version-proves-nothing', SET_CHANGE_BOUNDS],
  ['update-at-voted-version', SET_CHANGE_BOUNDS],
  ['witness-waits-for-holder', DELAY_BOUNDS],
  ['fence-is-final', DELAY_BOUNDS],
  ['votes-of-named-incarnation', DELAY_BOUNDS],
  ['replaced-witness-waits', DELAY_BOUNDS],
  ['count-from-send', DELAY_BOUNDS],
  ['monotonic-clock', CLOCK_BOUNDS],
  ['wall-clock', CLOCK_BOUNDS],
  ['clocks-agree', COMBINED_CLOCK_BOUNDS],
  ['doubt-is-final', FINE_CLOCK_BOUNDS],
  ['sets-outlive-era', RETURN_BOUNDS],
  ['renewed-since-era', {...REWRITE_BOUNDS, mayLackSession: false}],
  ['memory-wins', TAKER_BOUNDS],
  ['newer-session-refuses', RETURN_BOUNDS],
  ['old-era-conflicts', RETURN_BOUNDS],
  ['other-era-is-unknown', RETURN_BOUNDS],
];

for (const [rule, bounds] of RULES) {
  test(`the exploration finds a violation without the rule ${rule}`, t => {
    const {counterexample} = visitAllStates({
      ...bounds,
      disabledRules: new Set([...bounds.disabledRules, rule]),
    });
    t.truthy(counterexample);
    t.log((counterexample ?? []).join(', '));
  });
}
