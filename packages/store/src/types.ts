/**
 * Interface of the platform's object store.
 */
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';

import type {VersionedValue} from './version.js';

/**
 * Version of an object. Increases with every write to any object; 0 means that the object does not exist. Versions
 * of a store that was restored from a backup are higher than all earlier ones (see version.ts).
 */
export type ObjectVersion = number;

/** An object that was read from the store. */
export interface StoredObject extends VersionedValue {
  readonly key: string;
  readonly value: Uint8Array;
}

/** A change reported by a watch. */
export interface ObjectChange {
  readonly key: string;
  readonly version: ObjectVersion;
  readonly isDeleted: boolean;
  /** The new value, if the store includes it in the change; otherwise it has to be read separately. */
  readonly value?: Uint8Array;
  /** Version at which the value was written; absent if it equals `version`. */
  readonly origin?: ObjectVersion;
}

/** Result of a watch. */
export interface WatchResult {
  /** Revision up to which the changes are complete. The next watch starts after it. */
  readonly revision: ObjectVersion;
  readonly changes: readonly ObjectChange[];
  /** Whether the store no longer has the requested changes, so that all objects have to be read again. */
  readonly isReset: boolean;
}

/** Result of a list. */
export interface ListResult {
  readonly revision: ObjectVersion;
  readonly objects: readonly StoredObject[];
}

/**
 * Why a call failed.
 *
 * - `unavailable`: the call had no effect.
 * - `unknown`: a write may or may not have taken effect, or may still do so.
 * - `conflict`: a conditional update found another version; it had no effect.
 * - `refused`: the store rejected the call; it had no effect.
 * - `budget`: the call was not made because the call budget was exhausted.
 */
export type StoreFailureKind =
  'unavailable' | 'unknown' | 'conflict' | 'refused' | 'budget';

/** A failed call. */
export interface StoreFailure {
  readonly kind: StoreFailureKind;
  readonly text: string;
  /** Version found in the store; only set for a conflict. */
  readonly foundVersion?: ObjectVersion;
}

/**
 * How current the answer to a read is.
 *
 * - `linearizable`: it contains every write that was acknowledged before the call.
 * - `serializable`: it is a state that the store once had, which may be some seconds old. Cheaper for the store.
 */
export type ReadConsistency = 'linearizable' | 'serializable';

/** Options of a watch. */
export interface WatchOptions {
  /** Linearizable if not set. */
  readonly consistency?: ReadConsistency;
  /** Ends the watch early; it then fails as `unavailable`. */
  readonly signal?: AbortSignal;
}

/** Operations of the object store. Reads are linearizable unless a call asks for less. */
export interface ObjectStore {
  /** Reads one object. Returns `undefined` if it does not exist. */
  getObject(key: string): TaskEither<StoreFailure, StoredObject | undefined>;
  /** Reads every object whose key starts with the prefix. */
  listObjects(
    prefix: string,
    consistency?: ReadConsistency,
  ): TaskEither<StoreFailure, ListResult>;
  /**
   * Writes an object if it has the expected version; 0 means that it must not exist. Returns the new
   * version.
   */
  updateObject(
    key: string,
    expectedVersion: ObjectVersion,
    value: Uint8Array,
  ): TaskEither<StoreFailure, ObjectVersion>;
  /** Deletes an object if it has the expected version. Returns the version of the deletion. */
  deleteObject(
    key: string,
    expectedVersion: ObjectVersion,
  ): TaskEither<StoreFailure, ObjectVersion>;
  /** Waits up to `waitMs` for changes after a revision to objects whose key starts with the prefix. */
  watchObjects(
    prefix: string,
    afterRevision: ObjectVersion,
    waitMs: number,
    options?: WatchOptions,
  ): TaskEither<StoreFailure, WatchResult>;
}
