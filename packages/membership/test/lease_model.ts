/**
 * A small model of one holder, its witnesses, the store and members that take it over. The decisions
 * are those of the real state machines; the model adds only delays, losses, pauses and clock steps.
 *
 * Every instant is kept relative to the present and capped, so that the states are finite in number
 * without an end of time. A pause of the holder is a stretch in which it takes no step. It looks at its
 * clocks after each tick and after each fault of them: faults that even out unseen deceive both clocks.
 */
import type {Instant, Member} from '@dottereldrift/core/types.js';

import {
  applyAnswer,
  createLeaseState,
  dropDoubtfulAnswers,
  getMajority,
  getWitnesses,
  isLeaseHeld,
  isTimeKnown,
  type LeaseState,
  setWitnessSets,
} from '../src/lease_holder.js';
import {
  applyWriterEvent,
  createWriterState,
  getActiveSets,
  type SessionWrite,
  type WriteAnswer,
  type WriterEvent,
  type WriterState,
} from '../src/session_writer.js';
import type {Session, VersionedSession} from '../src/types.js';
import {
  applyFence,
  applyHeartbeat,
  type WitnessRecord,
  type WitnessState,
} from '../src/witness.js';

/** A safety rule that a test switches off. */
export type Rule =
  | 'joint-majority'
  | 'old-version-proves-nothing'
  | 'witness-waits-for-holder'
  | 'fence-is-final'
  | 'votes-of-named-incarnation'
  | 'count-from-send'
  | 'monotonic-clock'
  | 'wall-clock'
  | 'clocks-agree'
  | 'doubt-is-final'
  | 'update-at-voted-version';

/** How much of each fault a model allows. */
export interface Bounds {
  readonly tickMs: number;
  readonly setChanges: number;
  readonly writes: number;
  /** Messages that are under way at a time. */
  readonly messages: number;
  readonly isDuplicating: boolean;
  readonly takers: number;
  readonly clockFaults: number;
  /** Whether the wall clock is also set back while the holder is suspended. */
  readonly isCombiningFaults: boolean;
  readonly restarts: number;
  readonly off: ReadonlySet<Rule>;
}

interface WitnessModel {
  readonly incarnation: string;
  readonly state: WitnessState;
  /** True once a taker has its vote, which counts whatever the witness does later. */
  readonly hasVoted: boolean;
}

/** A write of the holder that the store has, or may yet get. */
interface Flight {
  readonly write: SessionWrite;
  readonly result: WriteAnswer | undefined;
}

interface Message {
  readonly kind: 'heartbeat' | 'answer';
  readonly witness: Member;
  readonly sentAt: Instant;
  readonly isFenced: boolean;
}

/** A taker keeps the session that it read; the votes are for a member, whichever version was read. */
interface Taker {
  readonly read: VersionedSession | undefined;
}

/** State of the model. */
export interface World {
  readonly lease: LeaseState;
  readonly writer: WriterState;
  readonly witnesses: ReadonlyMap<string, WitnessModel>;
  readonly stored: VersionedSession;
  readonly flights: readonly Flight[];
  readonly messages: readonly Message[];
  readonly takers: readonly Taker[];
  readonly setChangesLeft: number;
  readonly writesLeft: number;
  readonly clockFaultsLeft: number;
  readonly restartsLeft: number;
}

/** A step that the model may take. */
export interface Action {
  readonly name: string;
  readonly next: () => World;
}

const NOW: Instant = {monotonicMs: 0, wallMs: 0};
const HOLDER: Member = {host: 'holder', incarnation: 'a'};
/** Instants from which on one is as old as any earlier one, to the holder and to a witness. */
const HOLDER_OLD_MS = -1_900;
const WITNESS_OLD_MS = -2_101;
/** Time by which a witness that does not wait counts the lease as lapsed too early. */
const EARLY_MS = 2_200;
/** Time by which the wall clock goes on when it is set back during a suspension that is longer. */
const LEFT_OVER_MS = 300;

const [A, B, C, D] = ['a', 'b', 'c', 'd'].map(host => ({
  host,
  incarnation: '0',
})) as [Member, Member, Member, Member];
/** The witness sets that the holder changes between. */
const SETS: ReadonlyArray<readonly Member[]> = [
  [A, B, C],
  [B, C, D],
];

/** Creates the state in which the holder's session is in force and nothing was sent. */
export function createWorld(bounds: Bounds): World {
  const stored = {session: createSession(SETS[0] ?? []), version: 1};
  const writer = {...createWriterState(HOLDER), inForce: stored};
  const names = [A, B, C, D].map(member => member.host);
  return {
    lease: createLeaseState(HOLDER, stored.session.witnesses),
    writer,
    witnesses: new Map(
      names.map(name => [
        name,
        {incarnation: '0', state: new Map(), hasVoted: false},
      ]),
    ),
    stored,
    flights: [],
    messages: [],
    takers: Array.from({length: bounds.takers}, () => ({read: undefined})),
    setChangesLeft: bounds.setChanges,
    writesLeft: bounds.writes,
    clockFaultsLeft: bounds.clockFaults,
    restartsLeft: bounds.restarts,
  };
}

/** Tells whether the holder believes in its lease although its session has ended. */
export function isViolated(world: World, bounds: Bounds): boolean {
  return world.stored.session.isEnded && isHeld(world, bounds);
}

/** Returns every step that the model may take next. */
export function listActions(world: World, bounds: Bounds): readonly Action[] {
  if (world.writer.inForce === undefined) return [];
  return [
    ...listTicks(world, bounds),
    ...listHolderActions(world, bounds),
    ...listMessageActions(world, bounds),
    ...listStoreActions(world, bounds),
    ...listTakerActions(world, bounds),
    ...listRestarts(world),
  ];
}

/** Returns a text that is the same for states that behave alike. */
export function formatWorld(world: World): string {
  const {writer} = world;
  const text = (order: readonly Member[]) =>
    [
      ...order.map(witness => formatWitness(world, witness)),
      ...world.messages.map(
        message =>
          `${message.kind[0]}${order.findIndex(other => other.host === message.witness.host)}${message.witness.incarnation}${formatInstant(message.sentAt)}${message.isFenced}`,
      ),
    ].join(' ');
  const rest = [
    formatStored(writer.inForce),
    ...writer.unsettled.map(formatSet),
    formatStored(world.stored),
    ...world.flights.map(
      ({write, result}) =>
        `${write.expectedVersion}${formatSet(write.session.witnesses)}${write === writer.underWay}${result?.kind}`,
    ),
    ...world.takers.map(taker => formatStored(taker.read)),
    world.setChangesLeft,
    world.writesLeft,
    world.clockFaultsLeft,
    world.restartsLeft,
  ].join(' ');
  // B and C are in both sets, so that they may change places.
  const [one, other] = [text([A, B, C, D]), text([A, C, B, D])];
  return `${one < other ? one : other}|${rest}`;
}

function formatWitness(world: World, {host}: Member): string {
  const {lease, witnesses} = world;
  const witness = witnesses.get(host);
  const names = [`${host}#0`, `${host}#1`];
  const answers = names.map(name =>
    lease.fencedBy.has(name) ? 'f' : formatInstant(lease.answeredAt.get(name)),
  );
  const records = [...(witness?.state.values() ?? [])].map(record =>
    record.isFenced ? 'F' : (record.heardAt?.monotonicMs ?? ''),
  );
  return `${answers.join()}/${witness?.incarnation}${records.join()}${witness?.hasVoted === true ? 'v' : ''}`;
}

function formatInstant(at: Instant | undefined): string {
  return at === undefined ? '' : `${at.monotonicMs}:${at.wallMs}`;
}

function formatStored(stored: VersionedSession | undefined): string {
  if (stored === undefined) return '-';
  const {session, version} = stored;
  return `${version}${formatSet(session.witnesses)}${session.isEnded ? 'e' : ''}`;
}

function formatSet(set: readonly Member[]): string {
  return set.map(member => member.host).join('');
}

function isHeld(world: World, bounds: Bounds): boolean {
  if (world.writer.inForce === undefined) return false;
  const {lease} = world;
  const answeredAt = new Map(
    [...lease.answeredAt].map(([name, at]) => [name, chooseClocks(at, bounds)]),
  );
  const seen = {...lease, answeredAt};
  const isComparing = !bounds.off.has('clocks-agree');
  return isLeaseHeld(isComparing ? dropDoubtfulAnswers(seen, NOW) : seen, NOW);
}

/** Makes a clock that is ignored agree with the other one. */
function chooseClocks(at: Instant, bounds: Bounds): Instant {
  const {monotonicMs, wallMs} = at;
  if (bounds.off.has('monotonic-clock')) return {monotonicMs: wallMs, wallMs};
  if (bounds.off.has('wall-clock')) {
    return {monotonicMs, wallMs: monotonicMs};
  }
  return at;
}

function listTicks(world: World, bounds: Bounds): readonly Action[] {
  const {tickMs} = bounds;
  const tick = {monotonicMs: tickMs, wallMs: tickMs};
  const ticks: Action[] = [
    {name: 'tick', next: () => passTime(world, tick, bounds)},
  ];
  if (world.clockFaultsLeft === 0) return ticks;
  const faulty = {...world, clockFaultsLeft: world.clockFaultsLeft - 1};
  const suspended = {monotonicMs: 0, wallMs: tickMs};
  const steppedBack = {monotonicMs: tickMs, wallMs: 0};
  const both = {monotonicMs: 0, wallMs: LEFT_OVER_MS};
  const faults: Action[] = [
    {
      name: 'holder suspended',
      next: () => passTime(faulty, suspended, bounds),
    },
    {
      name: 'wall clock set back',
      next: () => passTime(faulty, steppedBack, bounds),
    },
  ];
  if (bounds.isCombiningFaults) {
    faults.push({
      name: 'holder suspended, wall clock set back meanwhile',
      next: () => passTime(faulty, both, bounds),
    });
  }
  return [...ticks, ...faults];
}

/** Lets time pass, after which the holder looks at its clocks. */
function passTime(world: World, atHolder: Instant, bounds: Bounds): World {
  const passed = shiftTime(world, atHolder, bounds.tickMs);
  const {off} = bounds;
  if (off.has('clocks-agree') || off.has('doubt-is-final')) return passed;
  return {
    ...passed,
    lease: dropDoubtfulAnswers(passed.lease, NOW),
    messages: passed.messages.filter(({sentAt}) => isTimeKnown(sentAt, NOW)),
  };
}

/** Lets time pass at the holder, by its clocks, and at the witnesses. */
function shiftTime(world: World, atHolder: Instant, tickMs: number): World {
  const shift = (at: Instant) => shiftInstant(at, atHolder, HOLDER_OLD_MS);
  const answeredAt = [...world.lease.answeredAt]
    .map(([name, at]): [string, Instant] => [name, shift(at)])
    .filter(([, at]) => !isOld(at));
  const witnesses = [...world.witnesses].map(
    ([name, witness]): [string, WitnessModel] => [
      name,
      {...witness, state: shiftRecords(witness.state, tickMs)},
    ],
  );
  const messages = world.messages.map(message => ({
    ...message,
    sentAt: shift(message.sentAt),
  }));
  return {
    ...world,
    lease: {...world.lease, answeredAt: new Map(answeredAt)},
    witnesses: new Map(witnesses),
    messages,
  };
}

type RecordEntry = [string, WitnessRecord];

/** A lease that has lapsed at a witness is as good as one that it never renewed. */
function shiftRecords(state: WitnessState, tickMs: number): WitnessState {
  const by = {monotonicMs: tickMs, wallMs: tickMs};
  const records = [...state].flatMap(([key, record]): RecordEntry[] => {
    if (record.isFenced) return [[key, {...record, heardAt: undefined}]];
    const heardAt =
      record.heardAt && shiftInstant(record.heardAt, by, WITNESS_OLD_MS);
    if (heardAt === undefined || heardAt.monotonicMs <= WITNESS_OLD_MS)
      return [];
    return [[key, {...record, heardAt}]];
  });
  return new Map(records);
}

function isOld(at: Instant): boolean {
  return at.monotonicMs <= HOLDER_OLD_MS && at.wallMs <= HOLDER_OLD_MS;
}

function shiftInstant(at: Instant, by: Instant, oldMs: number): Instant {
  return {
    monotonicMs: Math.max(oldMs, at.monotonicMs - by.monotonicMs),
    wallMs: Math.max(oldMs, at.wallMs - by.wallMs),
  };
}

function listHolderActions(world: World, bounds: Bounds): readonly Action[] {
  const actions: Action[] = [];
  const {writer} = world;
  for (const witness of getWitnesses(world.lease)) {
    actions.push({
      name: `heartbeat to ${witness.host}`,
      next: () => runHeartbeat(world, witness, bounds),
    });
    if (world.messages.length < bounds.messages) {
      const sent: Message = {
        kind: 'heartbeat',
        witness,
        sentAt: NOW,
        isFenced: false,
      };
      actions.push({
        name: `slow heartbeat to ${witness.host}`,
        next: () => ({...world, messages: [...world.messages, sent]}),
      });
    }
  }
  if (writer.underWay === undefined && world.writesLeft > 0) {
    const next = startWrite(world, bounds);
    if (next !== undefined)
      actions.push({name: 'write session', next: () => next});
  }
  actions.push({name: 'read session', next: () => readSession(world, bounds)});
  return actions;
}

function startWrite(world: World, bounds: Bounds): World | undefined {
  const present = world.writer.inForce?.session.witnesses ?? [];
  const isChange = world.setChangesLeft > 0;
  const other = SETS.find(set => formatSet(set) !== formatSet(present));
  const wanted = createSession(isChange ? (other ?? present) : present);
  const found = undefined;
  const step = applyWriterEvent(world.writer, {kind: 'check', wanted, found});
  if (step.effect.kind !== 'write') return undefined;
  const flight = {write: step.effect.write, result: undefined};
  const changed = {
    ...world,
    writesLeft: world.writesLeft - 1,
    setChangesLeft: world.setChangesLeft - (isChange ? 1 : 0),
    flights: [...world.flights, flight],
  };
  return adoptWriter(changed, step.state, bounds);
}

function readSession(world: World, bounds: Bounds): World {
  const event: WriterEvent = {kind: 'seen', found: world.stored};
  const step = applyWriterEvent(world.writer, event);
  const isOldVersion =
    bounds.off.has('old-version-proves-nothing') &&
    world.stored.version === world.writer.inForce?.version;
  const state = isOldVersion ? {...step.state, unsettled: []} : step.state;
  return adoptWriter(world, state, bounds);
}

function adoptWriter(world: World, writer: WriterState, bounds: Bounds): World {
  const sets = bounds.off.has('joint-majority')
    ? getActiveSets(writer).slice(-1)
    : getActiveSets(writer);
  return {...world, writer, lease: setWitnessSets(world.lease, sets)};
}

function runHeartbeat(world: World, witness: Member, bounds: Bounds): World {
  const {next, isFenced, answerer} = receiveHeartbeat(world, witness, bounds);
  return {...next, lease: applyAnswer(next.lease, answerer, NOW, isFenced)};
}

function receiveHeartbeat(
  world: World,
  witness: Member,
  bounds: Bounds,
): {next: World; isFenced: boolean; answerer: Member} {
  const model = getWitness(world, witness);
  const isRenewing = bounds.off.has('fence-is-final');
  const before = isRenewing ? dropFences(model.state) : model.state;
  const step = applyHeartbeat(before, HOLDER, NOW);
  const next = putWitness(world, witness, {...model, state: step.state});
  const answerer = {host: witness.host, incarnation: model.incarnation};
  return {next, isFenced: !step.isGranted, answerer};
}

function dropFences(state: WitnessState): WitnessState {
  return new Map([...state].filter(([, record]) => !record.isFenced));
}

function listMessageActions(world: World, bounds: Bounds): readonly Action[] {
  return world.messages.flatMap((message, index) => {
    const rest = world.messages.filter((_, other) => other !== index);
    const left = {...world, messages: rest};
    const {kind, witness} = message;
    const name = `${kind} of ${witness.host}`;
    const deliver = (from: World) =>
      kind === 'heartbeat'
        ? passHeartbeat(from, message, bounds)
        : passAnswer(from, message, bounds);
    const actions: Action[] = [
      {name: `${name} arrives`, next: () => deliver(left)},
      {name: `${name} is lost`, next: () => left},
    ];
    if (bounds.isDuplicating && kind === 'answer') {
      actions.push({name: `${name} arrives twice`, next: () => deliver(world)});
    }
    return actions;
  });
}

function passHeartbeat(world: World, message: Message, bounds: Bounds): World {
  const {next, isFenced, answerer} = receiveHeartbeat(
    world,
    message.witness,
    bounds,
  );
  const answer: Message = {
    kind: 'answer',
    witness: answerer,
    sentAt: message.sentAt,
    isFenced,
  };
  return {...next, messages: [...next.messages, answer]};
}

function passAnswer(world: World, message: Message, bounds: Bounds): World {
  const {witness, isFenced} = message;
  const at = bounds.off.has('count-from-send') ? NOW : message.sentAt;
  return {...world, lease: applyAnswer(world.lease, witness, at, isFenced)};
}

function listStoreActions(world: World, bounds: Bounds): readonly Action[] {
  return world.flights.flatMap((flight, index) => {
    const put = (changed: Flight | undefined): World => ({
      ...world,
      flights: world.flights.flatMap((other, at) =>
        at === index ? (changed === undefined ? [] : [changed]) : [other],
      ),
    });
    const {write, result} = flight;
    const isAwaited = world.writer.underWay === write;
    const actions: Action[] = [];
    if (result === undefined) {
      actions.push({
        name: 'write reaches store',
        next: () => updateStored(put, world, write, isAwaited),
      });
    }
    if (result !== undefined && isAwaited) {
      actions.push({
        name: 'answer of store',
        next: () => applyAnswered(put(undefined), write, result, bounds),
      });
    }
    if (isAwaited) {
      const left = result === undefined ? put(flight) : put(undefined);
      actions.push({
        name: 'answer of store is lost',
        next: () => applyAnswered(left, write, {kind: 'unknown'}, bounds),
      });
    }
    return actions;
  });
}

function updateStored(
  put: (changed: Flight | undefined) => World,
  world: World,
  write: SessionWrite,
  isAwaited: boolean,
): World {
  const isMatch = world.stored.version === write.expectedVersion;
  const version = world.stored.version + 1;
  const result: WriteAnswer = isMatch
    ? {kind: 'written', version}
    : {kind: 'conflict'};
  const next = put(isAwaited ? {write, result} : undefined);
  return isMatch ? {...next, stored: {session: write.session, version}} : next;
}

function applyAnswered(
  world: World,
  write: SessionWrite,
  answer: WriteAnswer,
  bounds: Bounds,
): World {
  const event: WriterEvent = {kind: 'answered', write, answer};
  const step = applyWriterEvent(world.writer, event);
  return adoptWriter(world, step.state, bounds);
}

function listTakerActions(world: World, bounds: Bounds): readonly Action[] {
  if (world.stored.session.isEnded) return [];
  return world.takers.flatMap((taker, index) => {
    const put = (changed: Taker): World => ({
      ...world,
      takers: world.takers.map((other, at) => (at === index ? changed : other)),
    });
    const actions: Action[] = [];
    if (taker.read?.version !== world.stored.version) {
      const read = {read: world.stored};
      actions.push({name: 'taker reads', next: () => put(read)});
    }
    if (taker.read === undefined) return actions;
    const {witnesses} = taker.read.session;
    for (const witness of witnesses) {
      const asked = askForVote(world, witness, bounds);
      if (asked !== undefined)
        actions.push({name: `${witness.host} votes`, next: () => asked});
    }
    const votes = witnesses.filter(other => getWitness(world, other).hasVoted);
    if (votes.length >= getMajority(witnesses.length)) {
      const ended = tryEnd(world, taker.read, bounds);
      if (ended !== undefined)
        actions.push({name: 'taker ends session', next: () => ended});
    }
    return actions;
  });
}

function askForVote(
  world: World,
  witness: Member,
  bounds: Bounds,
): World | undefined {
  const model = getWitness(world, witness);
  if (model.hasVoted) return undefined;
  const isNamed = model.incarnation === witness.incarnation;
  if (!isNamed && !bounds.off.has('votes-of-named-incarnation'))
    return undefined;
  const earlyMs = bounds.off.has('witness-waits-for-holder') ? EARLY_MS : 0;
  const now = {monotonicMs: earlyMs, wallMs: earlyMs};
  const step = applyFence(model.state, HOLDER, now);
  if (!step.isGranted) return undefined;
  const voted = {...model, state: step.state, hasVoted: true};
  return putWitness(world, witness, voted);
}

function tryEnd(
  world: World,
  read: VersionedSession,
  bounds: Bounds,
): World | undefined {
  const isMatch = world.stored.version === read.version;
  if (!isMatch && !bounds.off.has('update-at-voted-version')) return undefined;
  const session = {...world.stored.session, isEnded: true};
  return {...world, stored: {session, version: world.stored.version + 1}};
}

function listRestarts(world: World): readonly Action[] {
  if (world.restartsLeft === 0) return [];
  return [A, B, C, D].map(witness => {
    const {hasVoted} = getWitness(world, witness);
    const restarted = {incarnation: '1', state: new Map(), hasVoted};
    return {
      name: `${witness.host} restarts`,
      next: () => ({
        ...putWitness(world, witness, restarted),
        restartsLeft: world.restartsLeft - 1,
      }),
    };
  });
}

function getWitness(world: World, witness: Member): WitnessModel {
  const model = world.witnesses.get(witness.host);
  if (model === undefined) throw new Error(`No witness ${witness.host}.`);
  return model;
}

function putWitness(world: World, witness: Member, model: WitnessModel): World {
  return {
    ...world,
    witnesses: new Map(world.witnesses).set(witness.host, model),
  };
}

function createSession(witnesses: readonly Member[]): Session {
  return {
    member: HOLDER,
    dataCentre: 'dc',
    region: 'r',
    peerAddress: {ip: '127.0.0.1', port: 1},
    callerPort: 2,
    witnesses,
    servers: [],
    isEnded: false,
    isLeaving: false,
  };
}
