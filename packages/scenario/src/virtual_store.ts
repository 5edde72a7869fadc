/**
 * A store client for virtual daemons. Calls go over the simulated network to one shared in-memory store and fail,
 * hang, lose their answers or take effect late, as the scenario specifies.
 *
 * Like the users' platform, the store compares bare revisions, so that an update that was sent before the store
 * returned to a copy may match a state of the new era. The client treats eras as the platform's adapter does: an answer
 * of an earlier era than one already seen is void, and an update during which the era rose has an unknown outcome.
 */
import * as E from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';

import {formatMessage} from '@dottereldrift/core/messages.js';
import {waitFor} from '@dottereldrift/core/system.js';
import type {CallBudget} from '@dottereldrift/store/call_budget.js';
import type {MemoryStore} from '@dottereldrift/store/memory_store.js';
import type {
  ListResult,
  ObjectStore,
  ObjectVersion,
  StoreFailure,
  StoredObject,
  WatchResult,
} from '@dottereldrift/store/types.js';

import {
  createVersion,
  formatVersion,
  getEra,
  getRevision,
} from '@dottereldrift/store/version.js';

import type {VirtualNetwork, Endpoint} from './virtual_network.js';

const CALL_TIMEOUT_MS = 2_000;

/** Active faults of the store, changed by the scenario. */
export interface StoreState {
  isOut: boolean;
  isLosingAnswers: boolean;
  writeDelayMs: number;
}

/** The store that all daemons share. */
export interface SharedStore {
  readonly endpoint: Endpoint;
  readonly memory: MemoryStore;
  readonly state: StoreState;
  /** Callbacks that end the pending watches when an outage begins. */
  readonly outageListeners: Set<() => void>;
  /** Called for each acknowledged write. */
  readonly onWriteAcknowledged: (key: string, value: Uint8Array) => void;
}

type Answer<T> = E.Either<StoreFailure, T>;

/** An answer with the era of the store that gave it. */
interface DatedAnswer<T> {
  readonly answer: Answer<T>;
  readonly era: number;
}

/** The store client of one process. */
export class VirtualStore implements ObjectStore {
  /** Highest era seen, in an answer or in a version from another daemon. */
  private era = 0;

  constructor(
    private readonly local: Endpoint,
    private readonly network: VirtualNetwork,
    private readonly shared: SharedStore,
    private readonly budget: CallBudget,
  ) {}

  getObject(key: string): TaskEither<StoreFailure, StoredObject | undefined> {
    return () => this.read(this.shared.memory.getObject(key));
  }

  listObjects(prefix: string): TaskEither<StoreFailure, ListResult> {
    return () => this.read(this.shared.memory.listObjects(prefix));
  }

  updateObject(
    key: string,
    expectedVersion: ObjectVersion,
    value: Uint8Array,
  ): TaskEither<StoreFailure, ObjectVersion> {
    const {memory, onWriteAcknowledged} = this.shared;
    return async () => {
      const written = await this.write(expectedVersion, (expected, era) =>
        memory.updateObject(key, expected, value, era),
      );
      if (E.isRight(written)) onWriteAcknowledged(key, value);
      return written;
    };
  }

  deleteObject(
    key: string,
    expectedVersion: ObjectVersion,
  ): TaskEither<StoreFailure, ObjectVersion> {
    const {memory} = this.shared;
    return () =>
      this.write(expectedVersion, expected =>
        memory.deleteObject(key, expected),
      );
  }

  watchObjects(
    prefix: string,
    afterRevision: ObjectVersion,
    waitMs: number,
  ): TaskEither<StoreFailure, WatchResult> {
    const {memory} = this.shared;
    const era = getEra(afterRevision);
    const reset = {revision: afterRevision, changes: [], isReset: true};
    return async () => {
      this.recordEra(era);
      if (era < this.era) return E.right(reset);
      const watch = () =>
        memory.watchObjects(
          prefix,
          this.translateVersion(afterRevision),
          waitMs,
        )();
      const watched = await this.read(() => this.endOnOutage(watch), waitMs);
      if (E.isLeft(watched)) return watched;
      return getEra(watched.right.revision) === era
        ? watched
        : E.right({...watched.right, changes: [], isReset: true});
    };
  }

  private async read<T>(
    run: () => Promise<Answer<T>>,
    waitMs = 0,
  ): Promise<Answer<T>> {
    const called = await this.call(
      run,
      waitMs + CALL_TIMEOUT_MS,
      createUnavailable('no answer'),
    );
    return called.era < this.era ? E.left(createRestored()) : called.answer;
  }

  private async write(
    expectedVersion: ObjectVersion,
    run: (
      expected: ObjectVersion,
      era: number,
    ) => TaskEither<StoreFailure, ObjectVersion>,
  ): Promise<Answer<ObjectVersion>> {
    const {state, endpoint} = this.shared;
    this.recordEra(getEra(expectedVersion));
    const {era} = this;
    if (expectedVersion !== 0 && getEra(expectedVersion) < era)
      return E.left(createEarlierEra(expectedVersion, era));
    const runDelayed = async () => {
      if (state.writeDelayMs > 0)
        await waitFor(endpoint.process, state.writeDelayMs);
      const answer = await run(this.translateVersion(expectedVersion), era)();
      if (state.isLosingAnswers)
        return new Promise<Answer<ObjectVersion>>(() => {});
      return answer;
    };
    const called = await this.call(
      runDelayed,
      CALL_TIMEOUT_MS,
      createUnknown(),
    );
    if (E.isLeft(called.answer)) return called.answer;
    return called.era === era ? called.answer : E.left(createUnknown());
  }

  /** Returns the version of the store's present era with the same revision. */
  private translateVersion(version: ObjectVersion): ObjectVersion {
    const era = getEra(this.shared.memory.getVersion());
    return version <= 0 ? version : createVersion(era, getRevision(version));
  }

  private recordEra(era: number): void {
    this.era = Math.max(this.era, era);
  }

  private async call<T>(
    run: () => Promise<Answer<T>>,
    timeoutMs: number,
    callFailure: StoreFailure,
  ): Promise<DatedAnswer<T>> {
    if (!this.budget.tryTake()) {
      const text = formatMessage('DD2005', {
        budget: this.budget.callsPerSecond,
      });
      return {answer: E.left({kind: 'budget', text}), era: this.era};
    }
    const {endpoint, state, memory} = this.shared;
    const runIfAvailable = async () => {
      const answer: Answer<T> = state.isOut
        ? E.left(createUnavailable('status 503'))
        : await run();
      return {answer, era: getEra(memory.getVersion())};
    };
    try {
      const called = await this.network.call(
        this.local,
        endpoint,
        timeoutMs,
        runIfAvailable,
      );
      this.recordEra(called.era);
      return called;
    } catch {
      return {answer: E.left(callFailure), era: this.era};
    }
  }

  private async endOnOutage<T>(
    watch: () => Promise<Answer<T>>,
  ): Promise<Answer<T>> {
    const {outageListeners} = this.shared;
    let listener = () => {};
    const ended = new Promise<Answer<T>>(resolve => {
      listener = () => {
        resolve(E.left(createUnavailable('the connection broke')));
      };
    });
    outageListeners.add(listener);
    const answer = await Promise.race([watch(), ended]);
    outageListeners.delete(listener);
    return answer;
  }
}

function createUnavailable(reason: string): StoreFailure {
  return {kind: 'unavailable', text: formatMessage('DD2001', {reason})};
}

function createRestored(): StoreFailure {
  return createUnavailable('it was restored from a backup during the call');
}

function createUnknown(): StoreFailure {
  return {kind: 'unknown', text: formatMessage('DD2002')};
}

function createEarlierEra(version: ObjectVersion, era: number): StoreFailure {
  const expected = formatVersion(version);
  const text = formatMessage('DD2006', {expected, era});
  return {kind: 'conflict', text};
}
