/**
 * Models one lease holder, its witnesses, the store, and the members that may take the holder over. All
 * decisions are made by the real state machines; the model adds delays, losses, pauses and clock faults.
 *
 * Instants are relative to the current time and capped, so that the number of states is finite without a time
 * limit. A pause of the holder is a sequence of steps in which it does nothing. The holder compares its clocks
 * after each tick and each clock fault, because faults that cancel out between two checks go undetected.
 */
import type {Instant, Member} from '@dottereldrift/core/types.js';

import {
  applyAnswer,
  createLeaseState,
  dropUnreliableAnswers,
  getMajority,
  getWitnesses,
  isLeaseHeld,
  isElapsedTimeKnown,
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
  type SessionWriterState,
} from '../src/session_writer.js';
import type {Session, VersionedSession} from '../src/types.js';
import {
  applyFence,
  applyHeartbeat,
  hasLapsedWith,
  type WitnessRecord,
  type WitnessState,
} from '../src/witness.js';

/** A safety rule that a test can disable. */
export type SafetyRule =
  | 'joint-majority'
  | 'old-version-proves-nothing'
  | 'witness-waits-for-holder'
  | 'fence-is-final'
  | 'votes-of-named-incarnation'
  | 'replaced-witness-waits'
  | 'count-from-send'
  | 'monotonic-clock'
  | 'wall-clock'
  | 'clocks-agree'
  | 'doubt-is-final'
  | 'update-at-voted-version';

/** Limits on the faults and actions of a model. */
export interface ModelBounds {
  readonly tickMs: number;
  readonly setChanges: number;
  readonly writes: number;
  /** Maximum number of messages in flight. */
  readonly messages: number;
  readonly isDuplicatingAnswers: boolean;
  readonly takeoverMembers: number;
  readonly clockFaults: number;
  /** Whether the wall clock may be set back while the holder is suspended. */
  readonly isCombiningClockFaults: boolean;
  readonly restarts: number;
  readonly disabledRules: ReadonlySet<SafetyRule>;
}

interface ModelWitness {
  readonly incarnation: string;
  /** When the process with the first incarnation was replaced. */
  readonly replacedAt: Instant | undefined;
  readonly state: WitnessState;
  /** True once the witness has voted; the vote counts whatever the witness does later. */
  readonly hasVoted: boolean;
}

/** A write of the holder that has reached the store or may still reach it. */
interface InFlightWrite {
  readonly write: SessionWrite;
  readonly result: WriteAnswer | undefined;
}

interface Message {
  readonly kind: 'heartbeat' | 'answer';
  readonly witness: Member;
  readonly sentAt: Instant;
  readonly isFenced: boolean;
}

/** A member that takes the holder over. Votes are for a member, regardless of the session version read. */
interface TakeoverMember {
  readonly read: VersionedSession | undefined;
}

/** State of the entire model. */
export interface ModelState {
  readonly lease: LeaseState;
  readonly writer: SessionWriterState;
  readonly witnesses: ReadonlyMap<string, ModelWitness>;
  readonly stored: VersionedSession;
  readonly inFlightWrites: readonly InFlightWrite[];
  readonly messages: readonly Message[];
  readonly takeoverMembers: readonly TakeoverMember[];
  readonly setChangesLeft: number;
  readonly writesLeft: number;
  readonly clockFaultsLeft: number;
  readonly restartsLeft: number;
}

/** A possible step of the model. */
export interface Action {
  readonly name: string;
  readonly next: () => ModelState;
}

const NOW: Instant = {monotonicMs: 0, wallMs: 0};
const HOLDER: Member = {host: 'holder', incarnation: 'a'};
/** Older instants are indistinguishable from these, to the holder and to a witness. */
const HOLDER_AGE_LIMIT_MS = -1_900;
const WITNESS_AGE_LIMIT_MS = -2_101;
/** Time by which a witness that does not wait for the holder considers a lease lapsed too early. */
const EARLY_LAPSE_MS = 2_200;
/** Net advance of the wall clock if it is set back during a longer suspension. */
const COMBINED_FAULT_WALL_MS = 300;

const [A, B, C, D] = ['a', 'b', 'c', 'd'].map(host => ({
  host,
  incarnation: '0',
})) as [Member, Member, Member, Member];
/** The witness sets between which the holder switches. */
const WITNESS_SETS: ReadonlyArray<readonly Member[]> = [
  [A, B, C],
  [B, C, D],
];

/** Creates the initial state: the holder's session is stored and nothing has been sent. */
export function createModelState(bounds: ModelBounds): ModelState {
  const stored = {session: createSession(WITNESS_SETS[0] ?? []), version: 1};
  const writer = {...createWriterState(HOLDER), inForce: stored};
  const names = [A, B, C, D].map(member => member.host);
  return {
    lease: createLeaseState(HOLDER, stored.session.witnesses),
    writer,
    witnesses: new Map(
      names.map(name => [
        name,
        {
          incarnation: '0',
          replacedAt: undefined,
          state: new Map(),
          hasVoted: false,
        },
      ]),
    ),
    stored,
    inFlightWrites: [],
    messages: [],
    takeoverMembers: Array.from({length: bounds.takeoverMembers}, () => ({
      read: undefined,
    })),
    setChangesLeft: bounds.setChanges,
    writesLeft: bounds.writes,
    clockFaultsLeft: bounds.clockFaults,
    restartsLeft: bounds.restarts,
  };
}

/** Returns whether the holder considers its lease valid although its session has ended. */
export function hasViolation(
  modelState: ModelState,
  bounds: ModelBounds,
): boolean {
  return modelState.stored.session.isEnded && isHeld(modelState, bounds);
}

/** Returns all possible next steps. */
export function listActions(
  modelState: ModelState,
  bounds: ModelBounds,
): readonly Action[] {
  if (modelState.writer.inForce === undefined) return [];
  return [
    ...listTicks(modelState, bounds),
    ...listHolderActions(modelState, bounds),
    ...listMessageActions(modelState, bounds),
    ...listStoreActions(modelState, bounds),
    ...listTakeoverActions(modelState, bounds),
    ...listRestarts(modelState),
  ];
}

/** Returns a string that is equal for equivalent states. */
export function formatModelState(modelState: ModelState): string {
  const {writer} = modelState;
  const text = (order: readonly Member[]) =>
    [
      ...order.map(witness => formatWitness(modelState, witness)),
      ...modelState.messages.map(
        message =>
          `${message.kind[0]}${order.findIndex(other => other.host === message.witness.host)}${message.witness.incarnation}${formatInstant(message.sentAt)}${message.isFenced}`,
      ),
    ].join(' ');
  const rest = [
    formatStored(writer.inForce),
    ...writer.unsettledSets.map(formatSet),
    formatStored(modelState.stored),
    ...modelState.inFlightWrites.map(
      ({write, result}) =>
        `${write.expectedVersion}${formatSet(write.session.witnesses)}${write === writer.underWay}${result?.kind}`,
    ),
    ...modelState.takeoverMembers.map(takeoverMember =>
      formatStored(takeoverMember.read),
    ),
    modelState.setChangesLeft,
    modelState.writesLeft,
    modelState.clockFaultsLeft,
    modelState.restartsLeft,
  ].join(' ');
  // B and C are in both sets and therefore interchangeable.
  const [one, other] = [text([A, B, C, D]), text([A, C, B, D])];
  return `${one < other ? one : other}|${rest}`;
}

function formatWitness(modelState: ModelState, {host}: Member): string {
  const {lease, witnesses} = modelState;
  const witness = witnesses.get(host);
  const names = [`${host}#0`, `${host}#1`];
  const answers = names.map(name =>
    lease.fencedBy.has(name)
      ? 'f'
      : formatInstant(lease.acknowledgedSentAt.get(name)),
  );
  const records = [...(witness?.state.values() ?? [])].map(record =>
    record.isFenced ? 'F' : (record.heardAt?.monotonicMs ?? ''),
  );
  return `${answers.join()}/${witness?.incarnation}${formatInstant(witness?.replacedAt)}${records.join()}${witness?.hasVoted === true ? 'v' : ''}`;
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

function isHeld(modelState: ModelState, bounds: ModelBounds): boolean {
  if (modelState.writer.inForce === undefined) return false;
  const {lease} = modelState;
  const acknowledgedSentAt = new Map(
    [...lease.acknowledgedSentAt].map(([name, at]) => [
      name,
      chooseClocks(at, bounds),
    ]),
  );
  const seen = {...lease, acknowledgedSentAt};
  const isComparing = !bounds.disabledRules.has('clocks-agree');
  return isLeaseHeld(
    isComparing ? dropUnreliableAnswers(seen, NOW) : seen,
    NOW,
  );
}

/** Replaces the time of a disabled clock by that of the other one. */
function chooseClocks(at: Instant, bounds: ModelBounds): Instant {
  const {monotonicMs, wallMs} = at;
  if (bounds.disabledRules.has('monotonic-clock'))
    return {monotonicMs: wallMs, wallMs};
  if (bounds.disabledRules.has('wall-clock')) {
    return {monotonicMs, wallMs: monotonicMs};
  }
  return at;
}

function listTicks(
  modelState: ModelState,
  bounds: ModelBounds,
): readonly Action[] {
  const {tickMs} = bounds;
  const tick = {monotonicMs: tickMs, wallMs: tickMs};
  const ticks: Action[] = [
    {name: 'tick', next: () => passTime(modelState, tick, bounds)},
  ];
  if (modelState.clockFaultsLeft === 0) return ticks;
  const faulty = {
    ...modelState,
    clockFaultsLeft: modelState.clockFaultsLeft - 1,
  };
  const suspended = {monotonicMs: 0, wallMs: tickMs};
  const steppedBack = {monotonicMs: tickMs, wallMs: 0};
  const both = {monotonicMs: 0, wallMs: COMBINED_FAULT_WALL_MS};
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
  if (bounds.isCombiningClockFaults) {
    faults.push({
      name: 'holder suspended, wall clock set back meanwhile',
      next: () => passTime(faulty, both, bounds),
    });
  }
  return [...ticks, ...faults];
}

/** Advances time, after which the holder compares its clocks. */
function passTime(
  modelState: ModelState,
  atHolder: Instant,
  bounds: ModelBounds,
): ModelState {
  const passed = shiftTime(modelState, atHolder, bounds.tickMs);
  const {disabledRules} = bounds;
  if (disabledRules.has('clocks-agree') || disabledRules.has('doubt-is-final'))
    return passed;
  return {
    ...passed,
    lease: dropUnreliableAnswers(passed.lease, NOW),
    messages: passed.messages.filter(({sentAt}) =>
      isElapsedTimeKnown(sentAt, NOW),
    ),
  };
}

/** Advances the clocks of the holder and of the witnesses. */
function shiftTime(
  modelState: ModelState,
  atHolder: Instant,
  tickMs: number,
): ModelState {
  const shift = (at: Instant) =>
    shiftInstant(at, atHolder, HOLDER_AGE_LIMIT_MS);
  const acknowledgedSentAt = [...modelState.lease.acknowledgedSentAt]
    .map(([name, at]): [string, Instant] => [name, shift(at)])
    .filter(([, at]) => !isExpired(at));
  const witnesses = [...modelState.witnesses].map(
    ([name, witness]): [string, ModelWitness] => [
      name,
      {
        ...witness,
        state: shiftRecords(witness.state, tickMs),
        replacedAt:
          witness.replacedAt &&
          shiftInstant(
            witness.replacedAt,
            {monotonicMs: tickMs, wallMs: tickMs},
            WITNESS_AGE_LIMIT_MS,
          ),
      },
    ],
  );
  const messages = modelState.messages.map(message => ({
    ...message,
    sentAt: shift(message.sentAt),
  }));
  return {
    ...modelState,
    lease: {
      ...modelState.lease,
      acknowledgedSentAt: new Map(acknowledgedSentAt),
    },
    witnesses: new Map(witnesses),
    messages,
  };
}

type RecordEntry = [string, WitnessRecord];

/** Ages the records of a witness. A lapsed lease is equivalent to one that was never renewed. */
function shiftRecords(state: WitnessState, tickMs: number): WitnessState {
  const by = {monotonicMs: tickMs, wallMs: tickMs};
  const records = [...state].flatMap(([key, record]): RecordEntry[] => {
    if (record.isFenced) return [[key, {...record, heardAt: undefined}]];
    const heardAt =
      record.heardAt && shiftInstant(record.heardAt, by, WITNESS_AGE_LIMIT_MS);
    if (heardAt === undefined || heardAt.monotonicMs <= WITNESS_AGE_LIMIT_MS)
      return [];
    return [[key, {...record, heardAt}]];
  });
  return new Map(records);
}

function isExpired(at: Instant): boolean {
  return (
    at.monotonicMs <= HOLDER_AGE_LIMIT_MS && at.wallMs <= HOLDER_AGE_LIMIT_MS
  );
}

function shiftInstant(at: Instant, by: Instant, ageLimitMs: number): Instant {
  return {
    monotonicMs: Math.max(ageLimitMs, at.monotonicMs - by.monotonicMs),
    wallMs: Math.max(ageLimitMs, at.wallMs - by.wallMs),
  };
}

function listHolderActions(
  modelState: ModelState,
  bounds: ModelBounds,
): readonly Action[] {
  const actions: Action[] = [];
  const {writer} = modelState;
  for (const witness of getWitnesses(modelState.lease)) {
    actions.push({
      name: `heartbeat to ${witness.host}`,
      next: () => runHeartbeat(modelState, witness, bounds),
    });
    if (modelState.messages.length < bounds.messages) {
      const sent: Message = {
        kind: 'heartbeat',
        witness,
        sentAt: NOW,
        isFenced: false,
      };
      actions.push({
        name: `slow heartbeat to ${witness.host}`,
        next: () => ({...modelState, messages: [...modelState.messages, sent]}),
      });
    }
  }
  if (writer.underWay === undefined && modelState.writesLeft > 0) {
    const next = startWrite(modelState, bounds);
    if (next !== undefined)
      actions.push({name: 'write session', next: () => next});
  }
  actions.push({
    name: 'read session',
    next: () => readSession(modelState, bounds),
  });
  return actions;
}

function startWrite(
  modelState: ModelState,
  bounds: ModelBounds,
): ModelState | undefined {
  const present = modelState.writer.inForce?.session.witnesses ?? [];
  const isChange = modelState.setChangesLeft > 0;
  const other = WITNESS_SETS.find(set => formatSet(set) !== formatSet(present));
  const wanted = createSession(isChange ? (other ?? present) : present);
  const found = undefined;
  const step = applyWriterEvent(modelState.writer, {
    kind: 'check',
    wanted,
    found,
  });
  if (step.effect.kind !== 'write') return undefined;
  const inFlight = {write: step.effect.write, result: undefined};
  const changed = {
    ...modelState,
    writesLeft: modelState.writesLeft - 1,
    setChangesLeft: modelState.setChangesLeft - (isChange ? 1 : 0),
    inFlightWrites: [...modelState.inFlightWrites, inFlight],
  };
  return adoptWriter(changed, step.state, bounds);
}

function readSession(modelState: ModelState, bounds: ModelBounds): ModelState {
  const event: WriterEvent = {kind: 'seen', found: modelState.stored};
  const step = applyWriterEvent(modelState.writer, event);
  const isOldVersion =
    bounds.disabledRules.has('old-version-proves-nothing') &&
    modelState.stored.version === modelState.writer.inForce?.version;
  const state = isOldVersion ? {...step.state, unsettledSets: []} : step.state;
  return adoptWriter(modelState, state, bounds);
}

function adoptWriter(
  modelState: ModelState,
  writer: SessionWriterState,
  bounds: ModelBounds,
): ModelState {
  const sets = bounds.disabledRules.has('joint-majority')
    ? getActiveSets(writer).slice(-1)
    : getActiveSets(writer);
  return {...modelState, writer, lease: setWitnessSets(modelState.lease, sets)};
}

function runHeartbeat(
  modelState: ModelState,
  witness: Member,
  bounds: ModelBounds,
): ModelState {
  const {next, isFenced, answerer} = receiveHeartbeat(
    modelState,
    witness,
    bounds,
  );
  return {...next, lease: applyAnswer(next.lease, answerer, NOW, isFenced)};
}

function receiveHeartbeat(
  modelState: ModelState,
  witness: Member,
  bounds: ModelBounds,
): {next: ModelState; isFenced: boolean; answerer: Member} {
  const model = getWitness(modelState, witness);
  const isRenewing = bounds.disabledRules.has('fence-is-final');
  const before = isRenewing ? dropFences(model.state) : model.state;
  const step = applyHeartbeat(before, HOLDER, NOW);
  const next = putWitness(modelState, witness, {...model, state: step.state});
  const answerer = {host: witness.host, incarnation: model.incarnation};
  return {next, isFenced: !step.isGranted, answerer};
}

function dropFences(state: WitnessState): WitnessState {
  return new Map([...state].filter(([, record]) => !record.isFenced));
}

function listMessageActions(
  modelState: ModelState,
  bounds: ModelBounds,
): readonly Action[] {
  return modelState.messages.flatMap((message, index) => {
    const rest = modelState.messages.filter((_, other) => other !== index);
    const left = {...modelState, messages: rest};
    const {kind, witness} = message;
    const name = `${kind} of ${witness.host}`;
    const deliver = (from: ModelState) =>
      kind === 'heartbeat'
        ? deliverHeartbeat(from, message, bounds)
        : deliverAnswer(from, message, bounds);
    const actions: Action[] = [
      {name: `${name} arrives`, next: () => deliver(left)},
      {name: `${name} is lost`, next: () => left},
    ];
    if (bounds.isDuplicatingAnswers && kind === 'answer') {
      actions.push({
        name: `${name} arrives twice`,
        next: () => deliver(modelState),
      });
    }
    return actions;
  });
}

function deliverHeartbeat(
  modelState: ModelState,
  message: Message,
  bounds: ModelBounds,
): ModelState {
  const {next, isFenced, answerer} = receiveHeartbeat(
    modelState,
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

function deliverAnswer(
  modelState: ModelState,
  message: Message,
  bounds: ModelBounds,
): ModelState {
  const {witness, isFenced} = message;
  const at = bounds.disabledRules.has('count-from-send') ? NOW : message.sentAt;
  return {
    ...modelState,
    lease: applyAnswer(modelState.lease, witness, at, isFenced),
  };
}

function listStoreActions(
  modelState: ModelState,
  bounds: ModelBounds,
): readonly Action[] {
  return modelState.inFlightWrites.flatMap((flight, index) => {
    const put = (changed: InFlightWrite | undefined): ModelState => ({
      ...modelState,
      inFlightWrites: modelState.inFlightWrites.flatMap((other, at) =>
        at === index ? (changed === undefined ? [] : [changed]) : [other],
      ),
    });
    const {write, result} = flight;
    const isAwaited = modelState.writer.underWay === write;
    const actions: Action[] = [];
    if (result === undefined) {
      actions.push({
        name: 'write reaches store',
        next: () => updateStored(put, modelState, write, isAwaited),
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
  put: (changed: InFlightWrite | undefined) => ModelState,
  modelState: ModelState,
  write: SessionWrite,
  isAwaited: boolean,
): ModelState {
  const isMatch = modelState.stored.version === write.expectedVersion;
  const version = modelState.stored.version + 1;
  const result: WriteAnswer = isMatch
    ? {kind: 'written', version}
    : {kind: 'conflict'};
  const next = put(isAwaited ? {write, result} : undefined);
  return isMatch ? {...next, stored: {session: write.session, version}} : next;
}

function applyAnswered(
  modelState: ModelState,
  write: SessionWrite,
  answer: WriteAnswer,
  bounds: ModelBounds,
): ModelState {
  const event: WriterEvent = {kind: 'answered', write, answer};
  const step = applyWriterEvent(modelState.writer, event);
  return adoptWriter(modelState, step.state, bounds);
}

function listTakeoverActions(
  modelState: ModelState,
  bounds: ModelBounds,
): readonly Action[] {
  if (modelState.stored.session.isEnded) return [];
  return modelState.takeoverMembers.flatMap((takeoverMember, index) => {
    const put = (changed: TakeoverMember): ModelState => ({
      ...modelState,
      takeoverMembers: modelState.takeoverMembers.map((other, at) =>
        at === index ? changed : other,
      ),
    });
    const actions: Action[] = [];
    if (takeoverMember.read?.version !== modelState.stored.version) {
      const read = {read: modelState.stored};
      actions.push({
        name: 'takeover member reads session',
        next: () => put(read),
      });
    }
    if (takeoverMember.read === undefined) return actions;
    const {witnesses} = takeoverMember.read.session;
    for (const witness of witnesses) {
      const asked = askForVote(modelState, witness, bounds);
      if (asked !== undefined)
        actions.push({name: `${witness.host} votes`, next: () => asked});
    }
    const votes = witnesses.filter(
      other => getWitness(modelState, other).hasVoted,
    );
    if (votes.length >= getMajority(witnesses.length)) {
      const ended = tryEnd(modelState, takeoverMember.read, bounds);
      if (ended !== undefined)
        actions.push({name: 'takeover member ends session', next: () => ended});
    }
    return actions;
  });
}

function askForVote(
  modelState: ModelState,
  witness: Member,
  bounds: ModelBounds,
): ModelState | undefined {
  const model = getWitness(modelState, witness);
  if (model.hasVoted) return undefined;
  const isNamed = model.incarnation === witness.incarnation;
  if (!isNamed && mayVoteForReplaced(model, witness, bounds))
    return putWitness(modelState, witness, {...model, hasVoted: true});
  if (!isNamed && !bounds.disabledRules.has('votes-of-named-incarnation'))
    return undefined;
  const earlyMs = bounds.disabledRules.has('witness-waits-for-holder')
    ? EARLY_LAPSE_MS
    : 0;
  const now = {monotonicMs: earlyMs, wallMs: earlyMs};
  const step = applyFence(model.state, HOLDER, now);
  if (!step.isGranted) return undefined;
  const voted = {...model, state: step.state, hasVoted: true};
  return putWitness(modelState, witness, voted);
}

/** Returns whether a restarted witness votes in place of the process that it has replaced. */
function mayVoteForReplaced(
  {replacedAt}: ModelWitness,
  {incarnation}: Member,
  bounds: ModelBounds,
): boolean {
  if (replacedAt === undefined) return false;
  if (bounds.disabledRules.has('replaced-witness-waits')) return true;
  const replaced = {incarnations: [incarnation], endedAt: replacedAt};
  return hasLapsedWith(replaced, incarnation, NOW);
}

function tryEnd(
  modelState: ModelState,
  read: VersionedSession,
  bounds: ModelBounds,
): ModelState | undefined {
  const isMatch = modelState.stored.version === read.version;
  if (!isMatch && !bounds.disabledRules.has('update-at-voted-version'))
    return undefined;
  const session = {...modelState.stored.session, isEnded: true};
  return {
    ...modelState,
    stored: {session, version: modelState.stored.version + 1},
  };
}

function listRestarts(modelState: ModelState): readonly Action[] {
  if (modelState.restartsLeft === 0) return [];
  return [A, B, C, D].map(witness => {
    const {hasVoted} = getWitness(modelState, witness);
    const restarted = {
      incarnation: '1',
      replacedAt: NOW,
      state: new Map(),
      hasVoted,
    };
    return {
      name: `${witness.host} restarts`,
      next: () => ({
        ...putWitness(modelState, witness, restarted),
        restartsLeft: modelState.restartsLeft - 1,
      }),
    };
  });
}

function getWitness(modelState: ModelState, witness: Member): ModelWitness {
  const model = modelState.witnesses.get(witness.host);
  if (model === undefined) throw new Error(`Unknown witness ${witness.host}.`);
  return model;
}

function putWitness(
  modelState: ModelState,
  witness: Member,
  model: ModelWitness,
): ModelState {
  return {
    ...modelState,
    witnesses: new Map(modelState.witnesses).set(witness.host, model),
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
