/**
 * A store client for virtual daemons. Calls go over the simulated network to one shared in-memory store and fail,
 * hang, lose their answers or take effect late, as the scenario specifies.
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

/** The store client of one process. */
export class VirtualStore implements ObjectStore {
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
      const written = await this.write(
        memory.updateObject(key, expectedVersion, value),
      );
      if (E.isRight(written)) onWriteAcknowledged(key, value);
      return written;
    };
  }

  deleteObject(
    key: string,
    expectedVersion: ObjectVersion,
  ): TaskEither<StoreFailure, ObjectVersion> {
    return () =>
      this.write(this.shared.memory.deleteObject(key, expectedVersion));
  }

  watchObjects(
    prefix: string,
    afterRevision: ObjectVersion,
    waitMs: number,
  ): TaskEither<StoreFailure, WatchResult> {
    const watch = this.shared.memory.watchObjects(
      prefix,
      afterRevision,
      waitMs,
    );
    return () => this.read(() => this.endOnOutage(watch), waitMs);
  }

  private read<T>(
    run: () => Promise<Answer<T>>,
    waitMs = 0,
  ): Promise<Answer<T>> {
    return this.call(
      run,
      waitMs + CALL_TIMEOUT_MS,
      createUnavailable('no answer'),
    );
  }

  private write<T>(run: () => Promise<Answer<T>>): Promise<Answer<T>> {
    const {state, endpoint} = this.shared;
    const runDelayed = async () => {
      if (state.writeDelayMs > 0)
        await waitFor(endpoint.process, state.writeDelayMs);
      const answer = await run();
      if (state.isLosingAnswers) return new Promise<Answer<T>>(() => {});
      return answer;
    };
    const callFailure = {
      kind: 'unknown',
      text: formatMessage('DD2002'),
    } as const;
    return this.call(runDelayed, CALL_TIMEOUT_MS, callFailure);
  }

  private async call<T>(
    run: () => Promise<Answer<T>>,
    timeoutMs: number,
    callFailure: StoreFailure,
  ): Promise<Answer<T>> {
    if (!this.budget.tryTake()) {
      const text = formatMessage('DD2005', {
        budget: this.budget.callsPerSecond,
      });
      return E.left({kind: 'budget', text});
    }
    const {endpoint, state} = this.shared;
    const runIfAvailable = () =>
      state.isOut
        ? Promise.resolve(E.left(createUnavailable('status 503')))
        : run();
    try {
      return await this.network.call(
        this.local,
        endpoint,
        timeoutMs,
        runIfAvailable,
      );
    } catch {
      return E.left(callFailure);
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
