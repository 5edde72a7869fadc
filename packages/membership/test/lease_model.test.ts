/**
 * Walks every state of a small model of leases, and checks that the walk finds a fault as soon as
 * any one of the safety rules is switched off.
 */
import test from 'ava';

import {
  type Bounds,
  createWorld,
  formatWorld,
  isViolated,
  listActions,
  type Rule,
  type World,
} from './lease_model.js';

/** One tick is as long as a lease lasts at its holder; two are longer than it lasts at a witness. */
const TICK_MS = 1_900;
/** Three of these are longer than a lease lasts at a witness, two are shorter than at its holder. */
const FINE_TICK_MS = 710;
const MAX_STATES = 1_000_000;

const NO_FAULTS: Bounds = {
  tickMs: TICK_MS,
  setChanges: 0,
  writes: 0,
  messages: 0,
  isDuplicating: false,
  takers: 1,
  clockFaults: 0,
  isCombiningFaults: false,
  restarts: 0,
  off: new Set(),
};
const CHANGING: Bounds = {
  ...NO_FAULTS,
  setChanges: 1,
  writes: 2,
};
const DELAYED: Bounds = {...NO_FAULTS, messages: 1, restarts: 1};
/** Single faults of the clocks, of which one of the clocks shows each. */
const CLOCKS: Bounds = {
  ...NO_FAULTS,
  clockFaults: 2,
  off: new Set(['clocks-agree']),
};
const COMBINED_CLOCKS: Bounds = {
  ...CLOCKS,
  isCombiningFaults: true,
  off: new Set(),
};
const FINE_CLOCKS: Bounds = {...COMBINED_CLOCKS, tickMs: FINE_TICK_MS};
const DELAYED_CLOCKS: Bounds = {...FINE_CLOCKS, messages: 1};
const MODELS = {
  changing: CHANGING,
  delayed: DELAYED,
  clocks: CLOCKS,
  combinedClocks: COMBINED_CLOCKS,
  fineClocks: FINE_CLOCKS,
  delayedClocks: DELAYED_CLOCKS,
};

interface Walk {
  readonly states: number;
  /** Steps to a state in which two members may own the same key; undefined when there is none. */
  readonly fault: readonly string[] | undefined;
}

interface Visit {
  readonly world: World;
  readonly before: Visit | undefined;
  readonly action: string;
}

function visitAll(bounds: Bounds): Walk {
  const first = {world: createWorld(bounds), before: undefined, action: ''};
  const seen = new Set([formatWorld(first.world)]);
  const queue: Visit[] = [first];
  for (let at = 0; at < queue.length; at++) {
    const visit = queue[at] as Visit;
    for (const {name, next} of listActions(visit.world, bounds)) {
      const world = next();
      const text = formatWorld(world);
      if (seen.has(text)) continue;
      seen.add(text);
      const reached = {world, before: visit, action: name};
      if (isViolated(world, bounds))
        return {states: seen.size, fault: listPath(reached)};
      queue.push(reached);
    }
    if (seen.size > MAX_STATES) throw new Error('The model is too large.');
  }
  return {states: seen.size, fault: undefined};
}

function listPath(visit: Visit): readonly string[] {
  const path: string[] = [];
  for (let at: Visit | undefined = visit; at !== undefined; at = at.before)
    if (at.action !== '') path.unshift(at.action);
  return path;
}

for (const [name, bounds] of Object.entries(MODELS)) {
  test(`no member believes in its lease after its end: ${name}`, t => {
    const walk = visitAll(bounds);
    t.is(walk.fault, undefined);
    t.log(`${walk.states} states`);
  });
}

const RULES: ReadonlyArray<readonly [Rule, Bounds]> = [
  ['joint-majority', CHANGING],
  ['old-version-proves-nothing', CHANGING],
  ['update-at-voted-version', CHANGING],
  ['witness-waits-for-holder', DELAYED],
  ['fence-is-final', DELAYED],
  ['votes-of-named-incarnation', DELAYED],
  ['count-from-send', DELAYED],
  ['monotonic-clock', CLOCKS],
  ['wall-clock', CLOCKS],
  ['clocks-agree', COMBINED_CLOCKS],
  ['doubt-is-final', FINE_CLOCKS],
];

for (const [rule, bounds] of RULES) {
  test(`the walk finds what happens without the rule ${rule}`, t => {
    const {fault} = visitAll({...bounds, off: new Set([...bounds.off, rule])});
    t.truthy(fault);
    t.log((fault ?? []).join(', '));
  });
}
