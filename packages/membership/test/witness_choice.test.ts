/**
 * Tests of witness selection.
 */
import test from 'ava';

import type {Session} from '../src/types.js';
import {chooseWitnesses} from '../src/witness_choice.js';

function createSession(host: string, dataCentre: string): Session {
  return {
    member: {host, incarnation: 'a'},
    dataCentre,
    region: 'r1',
    peerAddress: {ip: '127.0.0.1', port: 1},
    callerPort: 2,
    witnesses: [],
    servers: [],
    isEnded: false,
    isLeaving: false,
  };
}

const SELF = createSession('h0', 'dc1');
const [FIRST, SECOND, THIRD] = [
  createSession('h1', 'dc1'),
  createSession('h2', 'dc2'),
  createSession('h3', 'dc3'),
] as const;
const OTHER_SECOND = createSession('h4', 'dc2');

function choose(live: readonly Session[], present: readonly Session[]) {
  const members = present.map(session => session.member);
  const chosen = chooseWitnesses(SELF, [SELF, ...live], members);
  return chosen.map(member => member.host).sort();
}

test('witnesses are spread over data centres and kept while they are live', t => {
  const live = [FIRST, SECOND, THIRD, OTHER_SECOND];
  const chosen = choose(live, []);
  t.is(chosen.filter(host => host === 'h2' || host === 'h4').length, 1);
  t.deepEqual(choose(live, [FIRST, OTHER_SECOND, THIRD]), ['h1', 'h3', 'h4']);
});

test('witnesses concentrated by a data centre loss are spread again when others return', t => {
  const present = [FIRST, SECOND, OTHER_SECOND];
  t.deepEqual(choose([FIRST, SECOND, OTHER_SECOND], present), [
    'h1',
    'h2',
    'h4',
  ]);
  const after = choose([FIRST, SECOND, OTHER_SECOND, THIRD], present);
  t.deepEqual(after, ['h1', 'h2', 'h3']);
});
