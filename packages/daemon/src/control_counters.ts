/**
 * Counts this daemon's control traffic: calls to the store and relay bytes between daemons.
 */
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';

import type {
  ListResult,
  ObjectStore,
  StoredObject,
  StoreFailure,
  WatchResult,
} from '@dottereldrift/store/types.js';

/** Bytes of framing before each message of a stream. */
export const ENVELOPE_BYTES = 5;

/** Control traffic since the daemon started. */
export interface ControlCounters {
  storeCalls: number;
  storeWrites: number;
  /** Bytes of the values read from and written to the store. */
  storeBytes: number;
  relayBytesSent: number;
  relayBytesReceived: number;
}

/** Creates counters that start at 0. */
export function createCounters(): ControlCounters {
  return {
    storeCalls: 0,
    storeWrites: 0,
    storeBytes: 0,
    relayBytesSent: 0,
    relayBytesReceived: 0,
  };
}

/** Wraps a store and counts its calls, writes and value bytes. */
export class CountingStore implements ObjectStore {
  constructor(
    private readonly store: ObjectStore,
    private readonly counters: ControlCounters,
  ) {}

  getObject(key: string): TaskEither<StoreFailure, StoredObject | undefined> {
    return this.count(this.store.getObject(key), object =>
      countBytes(object === undefined ? [] : [object]),
    );
  }

  listObjects(prefix: string): TaskEither<StoreFailure, ListResult> {
    return this.count(this.store.listObjects(prefix), answer =>
      countBytes(answer.objects),
    );
  }

  updateObject(
    key: string,
    expectedVersion: number,
    value: Uint8Array,
  ): TaskEither<StoreFailure, number> {
    const update = this.store.updateObject(key, expectedVersion, value);
    return this.countWrite(update, value.byteLength);
  }

  deleteObject(
    key: string,
    expectedVersion: number,
  ): TaskEither<StoreFailure, number> {
    return this.countWrite(this.store.deleteObject(key, expectedVersion), 0);
  }

  watchObjects(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): TaskEither<StoreFailure, WatchResult> {
    const watch = this.store.watchObjects(prefix, afterRevision, waitMs);
    return this.count(watch, () => 0);
  }

  private countWrite<T>(
    call: TaskEither<StoreFailure, T>,
    bytes: number,
  ): TaskEither<StoreFailure, T> {
    return () => {
      this.counters.storeWrites += 1;
      return this.count(call, () => bytes)();
    };
  }

  private count<T>(
    call: TaskEither<StoreFailure, T>,
    getBytes: (answer: T) => number,
  ): TaskEither<StoreFailure, T> {
    return async () => {
      this.counters.storeCalls += 1;
      const answer = await call();
      if (answer._tag === 'Right')
        this.counters.storeBytes += getBytes(answer.right);
      return answer;
    };
  }
}

function countBytes(objects: readonly StoredObject[]): number {
  return objects.reduce((sum, object) => sum + object.value.byteLength, 0);
}
