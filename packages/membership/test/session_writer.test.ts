/**
 * Tests of when a member writes its session and how it interprets the store's answers.
 */
import test from 'ava';

import {createVersion} from '@dottereldrift/store/version.js';

import {
  applyWriterEvent,
  createWriterState,
  getActiveSets,
  isConfirmed,
  type WriterEvent,
  type SessionWriterState,
  type WriteAnswer,
  type WriterStep,
} from '../src/session_writer.js';
import type {Session, VersionedSession} from '../src/types.js';

const SELF = {host: 'h0', incarnation: 'a'};
const EARLIER = {host: 'h0', incarnation: 'before'};
const SET = createSet('h1', 'h2', 'h3');
const NEXT_SET = createSet('h2', 'h3', 'h4');
const THIRD_SET = createSet('h3', 'h4', 'h5');

function createSet(...hosts: readonly string[]) {
  return hosts.map(host => ({host, incarnation: 'a'}));
}

function createSession(changes: Partial<Session> = {}): Session {
  return {
    member: SELF,
    dataCentre: 'dc1',
    region: 'r1',
    peerAddress: {ip: '127.0.0.1', port: 1},
    callerPort: 2,
    witnesses: SET,
    servers: [],
    isEnded: false,
    isLeaving: false,
    ...changes,
  };
}

function createStateInForce(): SessionWriterState {
  const inForce = {session: createSession(), version: 5};
  return {...createWriterState(SELF), inForce};
}

function check(state: SessionWriterState, witnesses = NEXT_SET): WriterStep {
  const wanted = createSession({witnesses});
  return applyWriterEvent(state, {kind: 'check', wanted, found: undefined});
}

function answer(
  step: WriterStep,
  kind: 'unknown' | 'no-effect' | 'conflict',
): WriterStep {
  if (step.effect.kind !== 'write') throw new Error('Nothing was written.');
  const {write} = step.effect;
  return applyWriterEvent(step.state, {
    kind: 'answered',
    write,
    answer: {kind},
  });
}

function applySeen(
  state: SessionWriterState,
  version: number,
  session: Session,
) {
  const event: WriterEvent = {kind: 'seen', found: {session, version}};
  return applyWriterEvent(state, event);
}

test('both witness sets are active from before the write until its outcome is known', t => {
  const started = check(createStateInForce());
  t.deepEqual(getActiveSets(started.state), [SET, NEXT_SET]);
  const lost = answer(started, 'unknown');
  t.deepEqual(getActiveSets(lost.state), [SET, NEXT_SET]);
  const refused = answer(started, 'no-effect');
  t.deepEqual(getActiveSets(refused.state), [SET]);
});

test('a session is written when any part of it has changed, and only then', t => {
  const checkWanted = (changes: Partial<Session>) =>
    applyWriterEvent(createStateInForce(), {
      kind: 'check',
      wanted: createSession(changes),
      found: undefined,
    });
  t.is(checkWanted({}).effect.kind, 'none');
  const same = createSet('h1', 'h2', 'h3');
  t.is(checkWanted({witnesses: same}).effect.kind, 'none');
  t.is(checkWanted({isLeaving: true}).effect.kind, 'write');
  t.is(checkWanted({callerPort: 3}).effect.kind, 'write');
  t.is(checkWanted({witnesses: NEXT_SET}).effect.kind, 'write');
});

test('a lost write is settled by reading a higher version, not the expected one', t => {
  const lost = answer(check(createStateInForce()), 'unknown');
  const old = applySeen(lost.state, 5, createSession());
  t.deepEqual(getActiveSets(old.state), [SET, NEXT_SET]);
  const newer = applySeen(lost.state, 6, createSession({witnesses: NEXT_SET}));
  t.deepEqual(getActiveSets(newer.state), [NEXT_SET]);
});

test('a lost write is settled by retrying the same witness set, never a third one', t => {
  const lost = answer(check(createStateInForce()), 'unknown');
  const again = check(lost.state, THIRD_SET);
  t.deepEqual(getActiveSets(again.state), [SET, NEXT_SET]);
  t.like(again.effect, {
    kind: 'write',
    write: {expectedVersion: 5, session: {witnesses: NEXT_SET}},
  });
  t.deepEqual(getActiveSets(answer(again, 'no-effect').state), [SET, NEXT_SET]);
  const conflict = answer(again, 'conflict');
  t.is(conflict.effect.kind, 'read');
  t.deepEqual(getActiveSets(conflict.state), [SET, NEXT_SET]);
});

test('a member whose session was ended rejoins as a new member', t => {
  const ended = applySeen(
    createStateInForce(),
    6,
    createSession({isEnded: true}),
  );
  t.is(ended.effect.kind, 'rejoin');
});

test('an ended session of this member is not overwritten, even if its first write was unsettled', t => {
  const first = applyWriterEvent(createWriterState(SELF), {
    kind: 'check',
    wanted: createSession(),
    found: undefined,
  });
  const lost = answer(first, 'unknown');
  const found = {session: createSession({isEnded: true}), version: 2};
  const wanted = createSession({witnesses: NEXT_SET});
  const next = applyWriterEvent(lost.state, {kind: 'check', wanted, found});
  t.is(next.effect.kind, 'rejoin');
});

test('a member overwrites an earlier session only if that has ended', t => {
  const wanted = createSession();
  const found = {session: createSession({member: EARLIER}), version: 3};
  const state = createWriterState(SELF);
  const event = {kind: 'check', wanted} as const;
  const live = applyWriterEvent(state, {...event, found});
  t.deepEqual(live.effect, {kind: 'end-earlier', earlier: found});
  const over = {...found, session: {...found.session, isEnded: true}};
  const begun = applyWriterEvent(state, {...event, found: over});
  t.like(begun.effect, {kind: 'write', write: {expectedVersion: 3}});
});

test('a late answer changes nothing after a newer version was read', t => {
  const started = check(createStateInForce());
  const seen = applySeen(
    started.state,
    7,
    createSession({witnesses: NEXT_SET}),
  );
  const late = answer({...started, state: seen.state}, 'unknown');
  t.deepEqual(getActiveSets(late.state), [NEXT_SET]);
});

/** Applies the session of this host as found in a store that was restored. */
function applyRestored(
  state: SessionWriterState,
  found: Omit<VersionedSession, 'session'>,
  changes: Partial<Session> = {},
): WriterStep {
  const session = createSession(changes);
  return applyWriterEvent(state, {kind: 'seen', found: {session, ...found}});
}

function answerWritten(step: WriterStep, version: number): WriterStep {
  if (step.effect.kind !== 'write') throw new Error('Nothing was written.');
  const answer: WriteAnswer = {kind: 'written', version};
  const {write} = step.effect;
  return applyWriterEvent(step.state, {kind: 'answered', write, answer});
}

test('a session is written again in a new era, so that no other daemon is left without it', t => {
  const restored = applyRestored(createStateInForce(), {
    version: createVersion(1, 3),
    origin: 3,
  });
  t.is(restored.effect.kind, 'none');
  const again = check(restored.state, SET);
  t.like(again.effect, {
    kind: 'write',
    write: {expectedVersion: createVersion(1, 3), session: {witnesses: SET}},
  });
  const written = answerWritten(again, createVersion(1, 4));
  t.is(check(written.state, SET).effect.kind, 'none');
});

test('a session that the restored store lacks is written as a new object', t => {
  const restored = applyRestored(createStateInForce(), {
    version: createVersion(1, 3),
    origin: 5,
    isAbsent: true,
  });
  const again = check(restored.state, SET);
  t.like(again.effect, {kind: 'write', write: {expectedVersion: 0}});
  const written = answerWritten(again, createVersion(1, 4));
  t.is(check(written.state, SET).effect.kind, 'none');
});

test('the older session of a restored store is not adopted', t => {
  const restored = applyRestored(
    createStateInForce(),
    {version: createVersion(1, 3), origin: 3},
    {witnesses: NEXT_SET},
  );
  t.deepEqual(restored.state.inForce?.session.witnesses, SET);
  t.deepEqual(getActiveSets(restored.state), [SET]);
});

test('an unsettled set stays active over a new era until a write in that era has succeeded', t => {
  const lost = answer(check(createStateInForce()), 'unknown');
  const restored = applyRestored(lost.state, {
    version: createVersion(1, 3),
    origin: 3,
  });
  t.deepEqual(getActiveSets(restored.state), [SET, NEXT_SET]);
  const again = check(restored.state, SET);
  t.like(again.effect, {
    kind: 'write',
    write: {
      expectedVersion: createVersion(1, 3),
      session: {witnesses: NEXT_SET},
    },
  });
  t.deepEqual(getActiveSets(again.state), [SET, NEXT_SET]);
  const written = answerWritten(again, createVersion(1, 4));
  t.deepEqual(getActiveSets(written.state), [NEXT_SET]);
});

test('a lost write that the restored store has keeps the set before active until the session is written again', t => {
  const lost = answer(check(createStateInForce()), 'unknown');
  const restored = applyRestored(
    lost.state,
    {version: createVersion(1, 6), origin: 6},
    {witnesses: NEXT_SET},
  );
  t.deepEqual(restored.state.inForce?.session.witnesses, NEXT_SET);
  t.deepEqual(getActiveSets(restored.state), [NEXT_SET, SET]);
  const again = check(restored.state);
  t.like(again.effect, {write: {session: {witnesses: NEXT_SET}}});
  const written = answerWritten(again, createVersion(1, 7));
  t.deepEqual(getActiveSets(written.state), [NEXT_SET]);
});

test('the set of a write stays active if its answer is lost after a new era was seen', t => {
  const started = check(createStateInForce());
  const found = {version: createVersion(1, 3), origin: 3};
  const restored = applyRestored(started.state, found);
  for (const kind of ['unknown', 'conflict', 'no-effect'] as const) {
    const late = answer({...started, state: restored.state}, kind);
    const expected = kind === 'unknown' ? [SET, NEXT_SET] : [SET];
    t.deepEqual(getActiveSets(late.state), expected, kind);
  }
});

test('a write of an earlier era that is acknowledged after a new era was seen does not drop the set before', t => {
  const started = check(createStateInForce());
  const found = {version: createVersion(1, 3), origin: 3};
  const restored = applyRestored(started.state, found);
  const late = answerWritten({...started, state: restored.state}, 6);
  t.deepEqual(getActiveSets(late.state), [NEXT_SET, SET]);
  const {inForce} = late.state;
  t.is(inForce?.version, createVersion(1, 3));
  t.false(inForce !== undefined && isConfirmed(inForce));
});

test('a second new era before the first answer leads to one more write, at the newest version', t => {
  const first = applyRestored(createStateInForce(), {
    version: createVersion(1, 3),
    origin: 3,
  });
  const lost = answer(check(first.state, SET), 'unknown');
  const second = applyRestored(lost.state, {
    version: createVersion(2, 3),
    origin: 3,
  });
  const again = check(second.state, SET);
  t.like(again.effect, {
    kind: 'write',
    write: {expectedVersion: createVersion(2, 3)},
  });
  const written = answerWritten(again, createVersion(2, 4));
  t.is(check(written.state, SET).effect.kind, 'none');
});

test('a late write of an earlier era that replaced the session is overwritten', t => {
  const state = {
    ...createStateInForce(),
    inForce: {session: createSession(), version: createVersion(1, 5)},
  };
  const restored = applyRestored(
    state,
    {version: createVersion(1, 6), origin: 4},
    {witnesses: NEXT_SET},
  );
  t.deepEqual(getActiveSets(restored.state), [SET]);
  t.like(check(restored.state, SET).effect, {
    kind: 'write',
    write: {
      expectedVersion: createVersion(1, 6),
      session: {witnesses: SET},
    },
  });
});

test('an earlier incarnation in the restored store does not end the member, unlike one that was written later', t => {
  const other = {member: EARLIER};
  const version = createVersion(1, 3);
  const earlier = applyRestored(
    createStateInForce(),
    {version, origin: 3},
    other,
  );
  t.is(earlier.effect.kind, 'none');
  t.deepEqual(earlier.state.inForce?.session.member, SELF);
  const later = applyRestored(
    createStateInForce(),
    {version, origin: 9},
    other,
  );
  t.is(later.effect.kind, 'rejoin');
});

test('an end that another daemon remembers ends the member also at a version that it knows', t => {
  const version = createVersion(1, 3);
  const restored = applyRestored(createStateInForce(), {version, origin: 3});
  const ended = applyRestored(
    restored.state,
    {version, origin: 6},
    {isEnded: true},
  );
  t.is(ended.effect.kind, 'rejoin');
});
