/**
 * Tests how an assignment goes on after the store was restored. Guards against placing slices by a backup that lacks
 * the last writes, against tokens that are given out a second time, and against slices that nobody serves again.
 */
import test from 'ava';
import fc from 'fast-check';

import type {Member} from '@dottereldrift/core/types.js';

import {parseAssignment, encodeAssignment} from '../src/assignment_record.js';
import {
  evaluateRecovery,
  getFirstGeneration,
  type RecoveryAnswer,
  type RecoveryInput,
  type RecoveryParticipant,
} from '../src/assignment_recovery.js';
import {planAssignment} from '../src/placement.js';
import type {Assignment, Slice} from '../src/types.js';
import {createInput} from './fleet_model.js';

const OWNER: Member = {host: 'h1', incarnation: 'a'};
const NEXT: Member = {host: 'h2', incarnation: 'a'};
const WRITER: Member = {host: 'h3', incarnation: 'b'};
const WAITS = {
  lostGrantsMs: 2_100,
  unansweredMs: 4_000,
  unansweredIfUncertainMs: 10_000,
};
const MAX_ERA = 8_191;
const CERTAIN: RecoveryAnswer = {
  isCertain: true,
  hasAssignment: true,
  released: [],
};
const UNCERTAIN: RecoveryAnswer = {...CERTAIN, isCertain: false};

function createSlice(start: number, token: number): Slice {
  return {start, owner: OWNER, token, nextOwner: undefined, recordsSince: 0};
}

const KNOWN: Assignment = {
  service: 'menu',
  generation: 9,
  slices: [createSlice(0, 4), createSlice(1_000, 9)],
  writer: OWNER,
};

function createParticipant(
  answer: RecoveryAnswer | undefined,
  waitedMs = 0,
  member = OWNER,
): RecoveryParticipant {
  return {member, waitedMs, answer};
}

function evaluate(
  participants: readonly RecoveryParticipant[],
  changes: Partial<RecoveryInput> = {},
) {
  return evaluateRecovery({
    service: 'menu',
    era: 1,
    known: KNOWN,
    participants,
    writer: WRITER,
    waits: WAITS,
    ...changes,
  });
}

function expectAssignment(
  participants: readonly RecoveryParticipant[],
  changes: Partial<RecoveryInput> = {},
): Assignment {
  const decision = evaluate(participants, changes);
  if (decision.kind !== 'write') throw new Error(`decided ${decision.kind}`);
  return decision.assignment;
}

test('an assignment that every member remembers goes on at once, with the owners and tokens that it had', t => {
  const next = expectAssignment([createParticipant(CERTAIN)]);
  t.deepEqual(next.slices, KNOWN.slices);
  t.deepEqual(next.writer, WRITER);
  t.true(next.generation >= getFirstGeneration(1));
});

test('members that may hold slices by an unknown assignment are waited for, each for its time', t => {
  const certain = createParticipant(CERTAIN, 0, NEXT);
  const cases: ReadonlyArray<
    readonly [
      RecoveryParticipant | undefined,
      RecoveryAnswer | undefined,
      number,
    ]
  > = [
    [certain, UNCERTAIN, WAITS.lostGrantsMs],
    [certain, undefined, WAITS.unansweredMs],
    [undefined, UNCERTAIN, WAITS.lostGrantsMs],
    [undefined, undefined, WAITS.unansweredIfUncertainMs],
  ];
  for (const [other, answer, limitMs] of cases) {
    const others = other === undefined ? [] : [other];
    const early = createParticipant(answer, limitMs - 1);
    t.is(evaluate([...others, early]).kind, 'wait');
    const late = createParticipant(answer, limitMs);
    t.is(evaluate([...others, late]).kind, 'write');
  }
});

test('if nobody is certain, every slice gets a token above all earlier ones and forgets its move and its records', t => {
  const moving = {...createSlice(0, 4), nextOwner: NEXT, handover: 'x'};
  const known = {...KNOWN, slices: [moving, createSlice(1_000, 9)]};
  const participants = [createParticipant(UNCERTAIN, WAITS.lostGrantsMs)];
  const {generation, slices} = expectAssignment(participants, {known});
  const expected = [0, 1_000].map(start => ({
    ...createSlice(start, generation),
    recordsSince: generation,
  }));
  t.deepEqual(slices, expected);
});

test('a member that only knows of no assignment does not make the one of the backup certain', t => {
  const none = {...CERTAIN, hasAssignment: false};
  const {slices, generation} = expectAssignment([createParticipant(none)]);
  t.true(slices.every(({token}) => token === generation));
});

test('a planned move that is remembered stays planned, under the token that its owner has released', t => {
  const moving = {...createSlice(0, 4), nextOwner: NEXT};
  const known = {...KNOWN, slices: [moving]};
  const released = [{start: 0, token: 4}];
  const next = expectAssignment([createParticipant({...CERTAIN, released})], {
    known,
  });
  t.deepEqual(next.slices, [moving]);
});

test('a slice that was released for a move which nobody remembers gets a new token, so that it is served again', t => {
  const released = [
    {start: 0, token: 4},
    {start: 1_000, token: 8},
  ];
  const answer = {...CERTAIN, released};
  const {generation, slices} = expectAssignment([createParticipant(answer)]);
  t.deepEqual(
    slices.map(({token}) => token),
    [generation, 9],
  );
});

test('slices of an owner that lost its memory get new tokens, since they may have moved; those of the others keep theirs', t => {
  const slices = [createSlice(0, 4), {...createSlice(1_000, 9), owner: NEXT}];
  const certain = createParticipant(CERTAIN);
  for (const answer of [UNCERTAIN, undefined]) {
    const lost = createParticipant(answer, WAITS.unansweredMs, NEXT);
    const next = expectAssignment([certain, lost], {known: {...KNOWN, slices}});
    const {generation} = next;
    t.deepEqual(
      next.slices.map(({owner, token}) => ({owner, token})),
      [
        {owner: OWNER, token: 4},
        {owner: NEXT, token: generation},
      ],
    );
  }
});

test('generations of a later era exceed all of earlier eras, also if the backup goes back before their recovery', t => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: MAX_ERA - 1}),
      fc.integer({min: 1, max: 900_000_000}),
      fc.integer({min: 1, max: 900_000_000}),
      (era, writes, laterWrites) => {
        const before = expectAssignment([createParticipant(CERTAIN)], {era});
        const highest = before.generation + writes;
        // The backup is older than the recovery in the era before.
        const after = expectAssignment(
          [createParticipant(UNCERTAIN, WAITS.lostGrantsMs)],
          {era: era + 1},
        );
        return (
          after.generation > highest &&
          Number.isSafeInteger(after.generation + laterWrites)
        );
      },
    ),
  );
  t.pass();
});

test('the generation exceeds the highest known one by more than the store can write in the lost seconds', t => {
  const generation = getFirstGeneration(1) + 5;
  const next = expectAssignment([createParticipant(CERTAIN)], {
    known: {...KNOWN, generation},
  });
  t.true(next.generation >= generation + 100_000);
});

test('tokens of the last era keep their value in the stored record', t => {
  const generation = getFirstGeneration(MAX_ERA) + 900_000_000;
  const slices = [createSlice(0, generation)];
  const assignment = {...KNOWN, generation, slices};
  t.deepEqual(parseAssignment(encodeAssignment(assignment)), assignment);
});

test('a first placement after a restoration gets tokens above all that may have been lost', t => {
  const answer = {...CERTAIN, hasAssignment: false};
  const decision = evaluate([createParticipant(answer)], {known: undefined});
  if (decision.kind !== 'place') throw new Error(`decided ${decision.kind}`);
  const {lastGeneration} = decision;
  const planned = planAssignment(createInput([OWNER], {lastGeneration}));
  const tokens = planned?.slices.map(({token}) => token) ?? [];
  t.true(tokens.length > 0);
  t.true(tokens.every(token => token > getFirstGeneration(1)));
  const unrestored = planAssignment(createInput([OWNER]));
  t.is(unrestored?.generation, 1);
});
