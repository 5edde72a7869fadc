/**
 * Compares the idempotency window with an unbounded reference model: a key runs at most once within its
 * retention, in any order of events.
 */
import test from 'ava';
import fc from 'fast-check';

import {
  type EntryState,
  IdempotencyWindow,
  type WindowEntry,
} from '../src/idempotency_window.js';

const RETENTION_MS = 100;
const LIMITS = {maxEntries: 4, maxBytes: 1_500, retentionMs: RETENTION_MS};
const SEED = 5;

type Action =
  | {readonly kind: 'start'; readonly key: number; readonly variant: number}
  | {readonly kind: 'finish'; readonly key: number; readonly bytes: number}
  | {readonly kind: 'fail' | 'cancel'; readonly key: number}
  | {readonly kind: 'wait'; readonly byMs: number}
  | {readonly kind: 'move'};

const keys = fc.nat(5);
const actions: fc.Arbitrary<Action> = fc.oneof(
  fc.record({
    kind: fc.constant('start' as const),
    key: keys,
    variant: fc.nat(1),
  }),
  fc.record({
    kind: fc.constant('finish' as const),
    key: keys,
    bytes: fc.nat(800),
  }),
  fc.record({
    kind: fc.constantFrom('fail' as const, 'cancel' as const),
    key: keys,
  }),
  fc.record({kind: fc.constant('wait' as const), byMs: fc.nat(60)}),
  fc.record({kind: fc.constant('move' as const)}),
);

interface KnownKey {
  readonly variant: number;
  readonly startedAtMs: number;
  readonly status: 'running' | 'unknown' | 'finished';
}

/** Model that keeps every key for its retention, without limits. */
class ReferenceWindow {
  readonly keys = new Map<number, KnownKey>();

  find(key: number, nowMs: number): KnownKey | undefined {
    const present = this.keys.get(key);
    if (present === undefined) return undefined;
    const isOver =
      nowMs - present.startedAtMs >= RETENTION_MS &&
      present.status !== 'running';
    return isOver ? undefined : present;
  }

  set(key: number, status: KnownKey['status']): void {
    const present = this.keys.get(key);
    if (present !== undefined) this.keys.set(key, {...present, status});
  }
}

function createEndState(status: KnownKey['status'], bytes: number): EntryState {
  if (status !== 'finished') return {kind: 'unknown'};
  const body = new Uint8Array(bytes);
  return {kind: 'finished', answer: {status: 200, headerPairs: [], body}};
}

test('the window agrees with an unbounded model on every key that it does not refuse', t => {
  const run = (list: readonly Action[]) => {
    let window = new IdempotencyWindow(LIMITS);
    const reference = new ReferenceWindow();
    let nowMs = 0;
    for (const action of list) {
      if (action.kind === 'wait') nowMs += action.byMs;
      else if (action.kind === 'move') {
        const entries = window.findEntries(() => true);
        const next = new IdempotencyWindow(LIMITS);
        const isTaken = next.tryMergeEntries(entries, nowMs);
        if (isTaken) window = next;
      } else {
        checkAction(window, reference, action, nowMs);
      }
      if (window.getSize() > LIMITS.maxEntries) throw new Error('too many');
    }
  };
  fc.assert(fc.property(fc.array(actions, {maxLength: 60}), run), {
    seed: SEED,
    numRuns: 2_000,
  });
  t.pass();
});

function checkAction(
  window: IdempotencyWindow,
  reference: ReferenceWindow,
  action: Exclude<Action, {kind: 'wait' | 'move'}>,
  nowMs: number,
): void {
  const name = `key-${action.key}`;
  const known = reference.find(action.key, nowMs);
  if (action.kind === 'start') {
    const fingerprint = String(action.variant);
    const answer = window.startRequest(
      {idempotencyKey: name, fingerprint},
      action.key,
      nowMs,
    );
    const isRunTwice = answer.kind === 'run' && known !== undefined;
    const isForgotten =
      known !== undefined &&
      answer.kind !== (known.variant === action.variant ? 'known' : 'mismatch');
    const isWrongState =
      answer.kind === 'known' &&
      known !== undefined &&
      answer.state.kind !== known.status;
    if (isRunTwice || isForgotten || isWrongState)
      throw new Error(`${name}: ${JSON.stringify(answer)}`);
    if (answer.kind === 'run') {
      const {variant} = action;
      reference.keys.set(action.key, {
        variant,
        startedAtMs: nowMs,
        status: 'running',
      });
    }
    return;
  }
  if (known?.status !== 'running') return;
  if (action.kind === 'cancel') {
    window.cancelRequest(name);
    reference.keys.delete(action.key);
    return;
  }
  const status = action.kind === 'finish' ? 'finished' : 'unknown';
  const bytes = action.kind === 'finish' ? action.bytes : 0;
  window.finishRequest(name, createEndState(status, bytes));
  reference.set(action.key, status);
}

function createEntry(index: number, bytes: number): WindowEntry {
  return {
    idempotencyKey: `key-${index}`,
    fingerprint: '',
    position: index,
    state: createEndState('finished', bytes),
    createdAtMs: 0,
  };
}

test('a window at its limit of entries or bytes refuses new keys, and merges all entries or none', t => {
  const window = new IdempotencyWindow(LIMITS);
  const start = (index: number) =>
    window.startRequest(
      {idempotencyKey: `new-${index}`, fingerprint: ''},
      index,
      0,
    ).kind;
  t.deepEqual([1, 2, 3, 4, 5].map(start), ['run', 'run', 'run', 'run', 'full']);
  t.false(window.tryMergeEntries([createEntry(1, 0)], 0));
  const other = new IdempotencyWindow(LIMITS);
  t.false(
    other.tryMergeEntries([createEntry(1, 10), createEntry(2, 1_400)], 0),
  );
  t.is(other.getSize(), 0);
  t.true(other.tryMergeEntries([createEntry(1, 1_200)], 0));
  t.is(
    other.startRequest({idempotencyKey: 'x', fingerprint: ''}, 0, 0).kind,
    'full',
  );
});

test('an answer without room is kept without its body, not forgotten', t => {
  const window = new IdempotencyWindow(LIMITS);
  const name = {idempotencyKey: 'a', fingerprint: ''};
  window.startRequest(name, 0, 0);
  window.finishRequest('a', createEndState('finished', 5_000));
  t.snapshot(window.startRequest(name, 0, 1));
});
