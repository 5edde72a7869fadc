/**
 * Models one lease holder, its witnesses, the store, and the members that may take the holder over. All
 * decisions are made by the real state machines; the model adds delays, losses, pauses and clock faults.
 *
 * Instants are relative to the current time and capped, so that the number of states is finite without a time
 * limit. A pause of the holder is a sequence of steps in which it does nothing. The holder compares its clocks
 * after each tick and each clock fault, because faults that cancel out between two checks go undetected.
 *
 * The store may return to any earlier state of its own, in a new era. It matches expected versions by revision alone,
 * as the platform's store does, so a write may take effect in a later era than the one in which it was sent.
 */
import type {Instant, Member} from '@dottereldrift/core/types.js';
import {
  createVersion,
  getEra,
  getExpectedVersion,
  getOrigin,
  getRevision,
} from '@dottereldrift/store/version.js';

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
  isConfirmed,
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
  | 'update-at-voted-version'
  | 'sets-outlive-era'
  | 'renewed-since-era'
  | 'memory-wins'
  | 'newer-session-refuses'
  | 'old-era-conflicts'
  | 'other-era-is-unknown';

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
  /** Number of times that the store returns to an earlier state. */
  readonly returns: number;
  /** Whether the store may also return to a state without the session. */
  readonly mayLackSession: boolean;
  /** Whose views have what the store had when it returns to an earlier state. */
  readonly informed: 'witnesses' | 'takeover members' | 'nobody';
  readonly disabledRules: ReadonlySet<SafetyRule>;
}

interface ModelWitness {
  readonly incarnation: string;
  /** When the process with the first incarnation was replaced. */
  readonly replacedAt: Instant | undefined;
  readonly state: WitnessState;
  /** True once the witness has voted; the vote counts whatever the witness does later. */
  readonly hasVoted: boolean;
  /** Versions that were read before the witness was asked for its vote; recorded only if the store may return. */
  readonly votedVersions: readonly number[];
  /** Origin of the newest session that the witness knows. */
  readonly knownOrigin: number;
}

/** A write of the holder that has reached the store or may still reach it. */
interface InFlightWrite {
  readonly write: SessionWrite;
  /** Era in which the write was sent, which is stored with the session. */
  readonly era: number;
  readonly result: WriteAnswer | undefined;
}

interface Message {
  readonly kind: 'heartbeat' | 'answer';
  readonly witness: Member;
  readonly sentAt: Instant;
  /** Version of the session in force at the holder when the heartbeat was sent. */
  readonly sentVersion: number;
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
  readonly returnsLeft: number;
  /** Earlier states of the store, to which it may return. */
  readonly history: readonly VersionedSession[];
  /** Whether the session was ever ended; an end holds although the store may lose it. */
  readonly wasEnded: boolean;
  /** Witnesses that answered a heartbeat sent since the holder has seen the present era. */
  readonly renewedSinceEra: readonly string[];
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
          votedVersions: [],
          knownOrigin: 0,
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
    returnsLeft: bounds.returns,
    history: bounds.mayLackSession
      ? [{...stored, version: 0, isAbsent: true}]
      : [],
    wasEnded: false,
    renewedSinceEra: [],
  };
}

/** Returns whether the holder considers its lease valid although its session has ended. */
export function hasViolation(
  modelState: ModelState,
  bounds: ModelBounds,
): boolean {
  return modelState.wasEnded && isHeld(modelState, bounds);
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
    ...listReturns(modelState, bounds),
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
          `${message.kind[0]}${message.sentVersion}${order.findIndex(other => other.host === message.witness.host)}${message.witness.incarnation}${formatInstant(message.sentAt)}${message.isFenced}`,
      ),
    ].join(' ');
  const rest = [
    formatStored(writer.inForce),
    ...writer.unsettledSets.map(formatSet),
    formatStored(modelState.stored),
    ...modelState.inFlightWrites.map(
      ({write, era, result}) =>
        `${write.expectedVersion}@${era}${formatSet(write.session.witnesses)}${write === writer.underWay}${result?.kind}`,
    ),
    ...modelState.takeoverMembers.map(takeoverMember =>
      formatStored(takeoverMember.read),
    ),
    modelState.setChangesLeft,
    modelState.writesLeft,
    modelState.clockFaultsLeft,
    modelState.restartsLeft,
    modelState.returnsLeft,
    modelState.wasEnded,
    ...modelState.history.map(formatStored).sort(),
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
  const isRenewed = modelState.renewedSinceEra.includes(host) ? 'r' : '';
  const origins = `${isRenewed}${witness?.knownOrigin}:${witness?.votedVersions.join()}`;
  return `${answers.join()}/${origins}/${witness?.incarnation}${formatInstant(witness?.replacedAt)}${records.join()}${witness?.hasVoted === true ? 'v' : ''}`;
}

function formatInstant(at: Instant | undefined): string {
  return at === undefined ? '' : `${at.monotonicMs}:${at.wallMs}`;
}

function formatStored(stored: VersionedSession | undefined): string {
  if (stored === undefined) return '-';
  const {session, version} = stored;
  return `${version}:${getOrigin(stored)}${stored.isAbsent === true ? '-' : ''}${formatSet(session.witnesses)}${session.isEnded ? 'e' : ''}`;
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
        sentVersion: writer.inForce?.version ?? 0,
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
  if (!mayWrite(modelState, bounds)) return undefined;
  const inFlight = {
    write: step.effect.write,
    era: getEra(modelState.writer.inForce?.version ?? 0),
    result: undefined,
  };
  const changed = {
    ...modelState,
    writesLeft: modelState.writesLeft - 1,
    setChangesLeft: modelState.setChangesLeft - (isChange ? 1 : 0),
    inFlightWrites: [...modelState.inFlightWrites, inFlight],
  };
  return adoptWriter(changed, step.state, bounds);
}

/** Returns whether every active set has renewed the lease since the holder has seen the present era. */
function mayWrite(modelState: ModelState, bounds: ModelBounds): boolean {
  const {writer, lease, renewedSinceEra} = modelState;
  if (writer.inForce === undefined || isConfirmed(writer.inForce)) return true;
  if (bounds.disabledRules.has('renewed-since-era')) return true;
  return getActiveSets(writer).every(set => {
    const renewing = set.filter(
      ({host}) =>
        renewedSinceEra.includes(host) && !lease.fencedBy.has(`${host}#0`),
    );
    return renewing.length >= getMajority(set.length);
  });
}

function readSession(modelState: ModelState, bounds: ModelBounds): ModelState {
  const {writer, stored} = modelState;
  const isOfNewEra =
    getEra(stored.version) > getEra(writer.inForce?.version ?? 0);
  const isAdopting =
    isOfNewEra &&
    !stored.session.isEnded &&
    bounds.disabledRules.has('sets-outlive-era');
  if (isAdopting) {
    const {session, version, isAbsent} = stored;
    const inForce = isAbsent === true ? writer.inForce : {session, version};
    return adoptWriter(
      modelState,
      {...writer, inForce, unsettledSets: []},
      bounds,
    );
  }
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
  const {inForce} = modelState.writer;
  const isKept = writer.inForce?.version === inForce?.version;
  return {
    ...modelState,
    writer,
    lease: setWitnessSets(modelState.lease, sets),
    renewedSinceEra: isKept ? modelState.renewedSinceEra : [],
  };
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
  const version = modelState.writer.inForce?.version ?? 0;
  return recordRenewal(
    {...next, lease: applyAnswer(next.lease, answerer, NOW, isFenced)},
    answerer,
    version,
    isFenced,
  );
}

/** Records that a witness has answered a heartbeat that was sent in the era that the holder has seen last. */
function recordRenewal(
  modelState: ModelState,
  {host, incarnation}: Member,
  sentVersion: number,
  isFenced: boolean,
): ModelState {
  const {renewedSinceEra: known, writer} = modelState;
  const {inForce} = writer;
  const isAwaited = inForce !== undefined && !isConfirmed(inForce);
  const isSentSince = sentVersion === inForce?.version;
  const isRenewing =
    !isFenced && incarnation === '0' && isSentSince && isAwaited;
  if (!isRenewing || known.includes(host)) return modelState;
  return {...modelState, renewedSinceEra: [...known, host].sort()};
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
    sentVersion: message.sentVersion,
    isFenced,
  };
  return {...next, messages: [...next.messages, answer]};
}

function deliverAnswer(
  modelState: ModelState,
  message: Message,
  bounds: ModelBounds,
): ModelState {
  const {witness, sentVersion, isFenced} = message;
  const at = bounds.disabledRules.has('count-from-send') ? NOW : message.sentAt;
  return recordRenewal(
    {
      ...modelState,
      lease: applyAnswer(modelState.lease, witness, at, isFenced),
    },
    witness,
    sentVersion,
    isFenced,
  );
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
        next: () => updateStored(put, modelState, flight, isAwaited, bounds),
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
  flight: InFlightWrite,
  isAwaited: boolean,
  bounds: ModelBounds,
): ModelState {
  const {write, era} = flight;
  const {stored} = modelState;
  const isMatch =
    getRevision(getExpectedVersion(stored)) ===
    getRevision(write.expectedVersion);
  const version = stored.version + 1;
  const isAnswerKnown =
    getEra(version) === era || bounds.disabledRules.has('other-era-is-unknown');
  const written: WriteAnswer = isAnswerKnown
    ? {kind: 'written', version}
    : {kind: 'unknown'};
  const result: WriteAnswer = isMatch ? written : {kind: 'conflict'};
  const next = put(isAwaited ? {...flight, result} : undefined);
  const origin = createVersion(era, getRevision(version));
  return isMatch
    ? putStored(next, {session: write.session, version, origin})
    : next;
}

/** Replaces the stored session; the state before remains one to which the store may return. */
function putStored(
  modelState: ModelState,
  stored: VersionedSession,
): ModelState {
  const {history, stored: before, returnsLeft} = modelState;
  const isKept =
    returnsLeft > 0 &&
    !history.some(other => formatStored(other) === formatStored(before));
  return {
    ...modelState,
    stored,
    history: isKept ? [...history, before] : history,
    wasEnded: modelState.wasEnded || stored.session.isEnded,
  };
}

function listReturns(
  modelState: ModelState,
  bounds: ModelBounds,
): readonly Action[] {
  if (modelState.returnsLeft === 0) return [];
  return modelState.history.map(copy => ({
    name: `store returns to ${formatStored(copy)}`,
    next: () => resetStored(modelState, copy, bounds),
  }));
}

function resetStored(
  modelState: ModelState,
  copy: VersionedSession,
  bounds: ModelBounds,
): ModelState {
  const {stored, takeoverMembers} = modelState;
  const era = getEra(stored.version) + 1;
  const version = createVersion(era, getRevision(copy.version));
  const returnsLeft = modelState.returnsLeft - 1;
  const restored = {...copy, version, origin: getOrigin(copy)};
  const knownOrigin = getOrigin(stored);
  const witnesses = [...modelState.witnesses].map(
    ([name, witness]): [string, ModelWitness] => [
      name,
      bounds.informed === 'witnesses'
        ? {
            ...witness,
            knownOrigin: Math.max(witness.knownOrigin, knownOrigin),
          }
        : witness,
    ],
  );
  return {
    ...putStored(modelState, stored),
    stored: restored,
    returnsLeft,
    history: returnsLeft === 0 ? [] : putStored(modelState, restored).history,
    witnesses: new Map(witnesses),
    takeoverMembers:
      bounds.informed === 'takeover members'
        ? takeoverMembers.map(({read}) => ({read: mergeRead(read, stored)}))
        : takeoverMembers,
  };
}

/** Merges what a takeover member knows with what it reads, as the view does. */
function mergeRead(
  known: VersionedSession | undefined,
  stored: VersionedSession,
): VersionedSession {
  if (known === undefined || getOrigin(stored) >= getOrigin(known))
    return stored;
  const {version, isAbsent} = stored;
  const {session} = known;
  const origin = getOrigin(known);
  return {
    session,
    version,
    origin,
    ...(isAbsent === undefined ? {} : {isAbsent}),
  };
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
  const {stored, returnsLeft} = modelState;
  if (stored.session.isEnded && returnsLeft === 0) return [];
  return modelState.takeoverMembers.flatMap((takeoverMember, index) => {
    const put = (changed: TakeoverMember): ModelState => ({
      ...modelState,
      takeoverMembers: modelState.takeoverMembers.map((other, at) =>
        at === index ? changed : other,
      ),
    });
    const actions: Action[] = [];
    if (takeoverMember.read?.version !== modelState.stored.version) {
      const known = bounds.disabledRules.has('memory-wins')
        ? undefined
        : takeoverMember.read;
      const read = {read: mergeRead(known, stored)};
      if (read.read.isAbsent === true && known === undefined) return actions;
      actions.push({
        name: 'takeover member reads session',
        next: () => dropVotes(put(read)),
      });
    }
    if (takeoverMember.read === undefined) return actions;
    if (takeoverMember.read.session.isEnded) return actions;
    const {witnesses} = takeoverMember.read.session;
    const {read} = takeoverMember;
    for (const witness of witnesses) {
      const asked = askForVote(modelState, witness, read, bounds);
      if (asked !== undefined)
        actions.push({name: `${witness.host} votes`, next: () => asked});
    }
    const votes = witnesses.filter(other =>
      hasVotedFor(getWitness(modelState, other), read, bounds),
    );
    if (votes.length >= getMajority(witnesses.length)) {
      const ended = tryEnd(modelState, takeoverMember.read, bounds);
      if (ended !== undefined)
        actions.push({name: 'takeover member ends session', next: () => ended});
    }
    return actions;
  });
}

/** Drops the votes for versions that no takeover member will use. */
function dropVotes(modelState: ModelState): ModelState {
  const used = modelState.takeoverMembers.map(({read}) => read?.version);
  const witnesses = [...modelState.witnesses].map(
    ([name, witness]): [string, ModelWitness] => [
      name,
      {
        ...witness,
        votedVersions: witness.votedVersions.filter(version =>
          used.includes(version),
        ),
      },
    ],
  );
  return {...modelState, witnesses: new Map(witnesses)};
}

function hasVotedFor(
  {hasVoted, votedVersions}: ModelWitness,
  {version}: VersionedSession,
  bounds: ModelBounds,
): boolean {
  return bounds.returns === 0 ? hasVoted : votedVersions.includes(version);
}

function askForVote(
  modelState: ModelState,
  witness: Member,
  read: VersionedSession,
  bounds: ModelBounds,
): ModelState | undefined {
  const model = getWitness(modelState, witness);
  if (hasVotedFor(model, read, bounds)) return undefined;
  const isRefusing =
    model.knownOrigin > getOrigin(read) &&
    !bounds.disabledRules.has('newer-session-refuses');
  if (isRefusing) return undefined;
  const votedVersions =
    bounds.returns === 0 ? [] : [...model.votedVersions, read.version].sort();
  const isNamed = model.incarnation === witness.incarnation;
  if (!isNamed && mayVoteForReplaced(model, witness, bounds))
    return putWitness(modelState, witness, {
      ...model,
      hasVoted: bounds.returns === 0,
      votedVersions,
    });
  if (!isNamed && !bounds.disabledRules.has('votes-of-named-incarnation'))
    return undefined;
  const earlyMs = bounds.disabledRules.has('witness-waits-for-holder')
    ? EARLY_LAPSE_MS
    : 0;
  const now = {monotonicMs: earlyMs, wallMs: earlyMs};
  const step = applyFence(model.state, HOLDER, now);
  if (!step.isGranted) return undefined;
  const voted = {
    ...model,
    state: step.state,
    hasVoted: bounds.returns === 0,
    votedVersions,
  };
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
  const {stored} = modelState;
  const isMatch = bounds.disabledRules.has('old-era-conflicts')
    ? getRevision(stored.version) === getRevision(read.version)
    : stored.version === read.version;
  if (!isMatch && !bounds.disabledRules.has('update-at-voted-version'))
    return undefined;
  const session = {...read.session, isEnded: true};
  return putStored(modelState, {session, version: stored.version + 1});
}

function listRestarts(modelState: ModelState): readonly Action[] {
  if (modelState.restartsLeft === 0) return [];
  return [A, B, C, D].map(witness => {
    const {hasVoted, votedVersions} = getWitness(modelState, witness);
    const restarted = {
      incarnation: '1',
      replacedAt: NOW,
      state: new Map(),
      hasVoted,
      votedVersions,
      knownOrigin: 0,
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
