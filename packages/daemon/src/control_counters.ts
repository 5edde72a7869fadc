/**
 * Counts this daemon's control traffic: calls to the store by purpose and relay bytes between daemons.
 */
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';

import type {Metrics} from '@dottereldrift/core/metrics.js';
import {SESSION_PREFIX} from '@dottereldrift/membership/session_record.js';
import {ASSIGNMENT_PREFIX} from '@dottereldrift/ownership/assignment_record.js';
import type {
  ListResult,
  ObjectStore,
  ReadConsistency,
  StoredObject,
  StoreFailure,
  WatchOptions,
  WatchResult,
} from '@dottereldrift/store/types.js';

import type {
  ConfigurationAnswer,
  ConfigurationSource,
} from './configuration_follower.js';

/** Bytes of framing before each message of a stream. */
export const ENVELOPE_BYTES = 5;

/** What a store call is made for. */
export type StoreCallPurpose =
  | 'list'
  | 'watch'
  | 'read-session'
  | 'read-assignment'
  | 'read-other'
  | 'write-session'
  | 'write-assignment'
  | 'write-other'
  | 'read-configuration'
  | 'watch-configuration';

/** Control traffic since the daemon started. */
export interface ControlCounters {
  /** Calls to the store, including those of the configuration. */
  storeCalls: number;
  /** Those of the calls whose answers may be old. */
  storeSerializableCalls: number;
  /** Calls to the store by purpose; one that was never made is absent. */
  readonly storeCallsByPurpose: Partial<Record<StoreCallPurpose, number>>;
  storeWrites: number;
  /** Bytes of the values read from and written to the store. */
  storeBytes: number;
  relayBytesSent: number;
  relayBytesReceived: number;
  /** Recoveries of an assignment that this daemon started after the store was restored. */
  assignmentRecoveries: number;
}

/** Creates counters that start at 0. */
export function createCounters(): ControlCounters {
  return {
    storeCalls: 0,
    storeSerializableCalls: 0,
    storeCallsByPurpose: {},
    storeWrites: 0,
    storeBytes: 0,
    relayBytesSent: 0,
    relayBytesReceived: 0,
    assignmentRecoveries: 0,
  };
}

/** Records store calls in the counters and, by purpose, in the metrics. */
export class StoreCallCounter {
  constructor(
    private readonly counters: ControlCounters,
    private readonly metrics: Pick<Metrics, 'addCount'>,
  ) {}

  /** Counts one call. */
  countCall(
    purpose: StoreCallPurpose,
    consistency: ReadConsistency = 'linearizable',
  ): void {
    const {counters} = this;
    counters.storeCalls += 1;
    if (consistency === 'serializable') counters.storeSerializableCalls += 1;
    const before = counters.storeCallsByPurpose[purpose] ?? 0;
    counters.storeCallsByPurpose[purpose] = before + 1;
    this.metrics.addCount('store.requests', 1, {purpose, consistency});
  }

  /** Counts one write in addition to its call. */
  countWrite(): void {
    this.counters.storeWrites += 1;
  }

  /** Counts bytes of values that were read or written. */
  countBytes(bytes: number): void {
    this.counters.storeBytes += bytes;
  }
}

/** Wraps a store and counts its calls, writes and value bytes. */
export class CountingStore implements ObjectStore {
  constructor(
    private readonly store: ObjectStore,
    private readonly counter: StoreCallCounter,
  ) {}

  getObject(key: string): TaskEither<StoreFailure, StoredObject | undefined> {
    return this.count(getReadPurpose(key), this.store.getObject(key), object =>
      object === undefined ? 0 : object.value.byteLength,
    );
  }

  listObjects(
    prefix: string,
    consistency?: ReadConsistency,
  ): TaskEither<StoreFailure, ListResult> {
    return this.count(
      'list',
      this.store.listObjects(prefix, consistency),
      ({objects}) =>
        objects.reduce((sum, object) => sum + object.value.byteLength, 0),
      consistency,
    );
  }

  updateObject(
    key: string,
    expectedVersion: number,
    value: Uint8Array,
  ): TaskEither<StoreFailure, number> {
    const update = this.store.updateObject(key, expectedVersion, value);
    return this.countWrite(key, update, value.byteLength);
  }

  deleteObject(
    key: string,
    expectedVersion: number,
  ): TaskEither<StoreFailure, number> {
    const deletion = this.store.deleteObject(key, expectedVersion);
    return this.countWrite(key, deletion, 0);
  }

  watchObjects(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    options: WatchOptions = {},
  ): TaskEither<StoreFailure, WatchResult> {
    const watch = this.store.watchObjects(
      prefix,
      afterRevision,
      waitMs,
      options,
    );
    return this.count('watch', watch, () => 0, options.consistency);
  }

  private countWrite<T>(
    key: string,
    call: TaskEither<StoreFailure, T>,
    bytes: number,
  ): TaskEither<StoreFailure, T> {
    return () => {
      this.counter.countWrite();
      return this.count(getWritePurpose(key), call, () => bytes)();
    };
  }

  private count<T>(
    purpose: StoreCallPurpose,
    call: TaskEither<StoreFailure, T>,
    getBytes: (answer: T) => number,
    consistency?: ReadConsistency,
  ): TaskEither<StoreFailure, T> {
    return async () => {
      this.counter.countCall(purpose, consistency);
      const answer = await call();
      if (answer._tag === 'Right')
        this.counter.countBytes(getBytes(answer.right));
      return answer;
    };
  }
}

/** Wraps a source of the configuration and counts its calls. */
export class CountingConfigurationSource implements ConfigurationSource {
  constructor(
    private readonly source: ConfigurationSource,
    private readonly counter: StoreCallCounter,
  ) {}

  readConfiguration(
    consistency?: ReadConsistency,
  ): TaskEither<StoreFailure, ConfigurationAnswer> {
    return () => {
      this.counter.countCall('read-configuration', consistency);
      return this.source.readConfiguration(consistency)();
    };
  }

  watchConfiguration(
    afterRevision: number,
    waitMs: number,
    options: WatchOptions = {},
  ): TaskEither<StoreFailure, ConfigurationAnswer> {
    return () => {
      this.counter.countCall('watch-configuration', options.consistency);
      return this.source.watchConfiguration(afterRevision, waitMs, options)();
    };
  }
}

function getReadPurpose(key: string): StoreCallPurpose {
  if (key.startsWith(SESSION_PREFIX)) return 'read-session';
  return key.startsWith(ASSIGNMENT_PREFIX) ? 'read-assignment' : 'read-other';
}

function getWritePurpose(key: string): StoreCallPurpose {
  if (key.startsWith(SESSION_PREFIX)) return 'write-session';
  return key.startsWith(ASSIGNMENT_PREFIX) ? 'write-assignment' : 'write-other';
}
