/**
 * Tests how often members change their witness sets while a fleet starts, and that a lost witness is replaced at
 * once.
 */
import test from 'ava';

import {FleetSettling} from '../src/fleet_settling.js';
import type {Session} from '../src/types.js';
import {chooseWitnesses, isSameSet} from '../src/witness_choice.js';

const MEMBERS = 60;
const DATA_CENTRES = 5;
const START_SPREAD_MS = 2_000;
const STEP_MS = 250;

function createSession(index: number): Session {
  const host = `h${index}`;
  return {
    member: {host, incarnation: 'a'},
    dataCentre: `dc${index % DATA_CENTRES}`,
    region: 'r1',
    peerAddress: {ip: '127.0.0.1', port: index},
    callerPort: 1,
    witnesses: [],
    servers: [],
    isEnded: false,
    isLeaving: false,
  };
}

const SESSIONS = Array.from({length: MEMBERS}, (_, index) =>
  createSession(index),
);

/** Starts members evenly over a time and returns the number of sets that the first one had. */
function countSets(isSettling: boolean): number {
  const settling = new FleetSettling();
  const [self] = SESSIONS;
  if (self === undefined) return 0;
  let present = [self.member] as ReturnType<typeof chooseWitnesses>;
  let sets = 1;
  for (let nowMs = 0; nowMs <= START_SPREAD_MS * 3; nowMs += STEP_MS) {
    const share = Math.min(1, nowMs / START_SPREAD_MS);
    const live = SESSIONS.slice(0, 1 + Math.floor(share * (MEMBERS - 1)));
    const wanted = chooseWitnesses(self, live, present);
    settling.observe(live, nowMs);
    if (isSameSet(wanted, present)) continue;
    if (isSettling && !settling.mayChange(present, live, nowMs)) continue;
    present = wanted;
    sets += 1;
  }
  return sets;
}

test('while a fleet starts, a member changes its witness set a few times only', t => {
  t.snapshot({without: countSets(false), with: countSets(true)});
  t.true(countSets(true) <= 3);
});

test('a lost witness is replaced although the fleet has just changed', t => {
  const settling = new FleetSettling();
  const witnesses = SESSIONS.slice(1, 6).map(({member}) => member);
  settling.observe(SESSIONS, 0);
  t.false(settling.mayChange(witnesses, SESSIONS, 100));
  const left = SESSIONS.filter((_, index) => index !== 3);
  settling.observe(left, 200);
  t.true(settling.mayChange(witnesses, left, 200));
});

test('a fleet that never settles defers a change for a few seconds only', t => {
  const settling = new FleetSettling();
  const witnesses = SESSIONS.slice(1, 4).map(({member}) => member);
  let keptMs = 0;
  for (let nowMs = 0; nowMs <= 10_000; nowMs += STEP_MS) {
    const live = SESSIONS.slice(0, 10 + nowMs / STEP_MS);
    settling.observe(live, nowMs);
    if (settling.mayChange(witnesses, live, nowMs)) break;
    keptMs = nowMs;
  }
  t.true(keptMs >= 3_000 && keptMs < 4_000, `${keptMs} ms`);
});
