/**
 * The platform's object store, as the rest of the program sees it.
 */
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';

/** Version of an object: grows with every write of any object; 0 means that there is none. */
export type ObjectVersion = number;

/** An object as it was read. */
export interface StoredObject {
  readonly key: string;
  readonly version: ObjectVersion;
  readonly value: Uint8Array;
}

/** A change that a watch reports. */
export interface ObjectChange {
  readonly key: string;
  readonly version: ObjectVersion;
  readonly isDeleted: boolean;
  /** The value, where the store sends it along; otherwise it is read separately. */
  readonly value?: Uint8Array;
}

/** Answer of a watch. */
export interface WatchAnswer {
  /** Version up to which the changes are complete; the next watch starts after it. */
  readonly revision: ObjectVersion;
  readonly changes: readonly ObjectChange[];
  /** True when the store no longer has the changes asked for: read everything again. */
  readonly isReset: boolean;
}

/** Answer of a list. */
export interface ListAnswer {
  readonly revision: ObjectVersion;
  readonly objects: readonly StoredObject[];
}

/**
 * Why a call failed.
 *
 * - `unavailable`: the call had no effect.
 * - `unknown`: a write may or may not have taken effect, or may yet do so.
 * - `conflict`: a conditional update found another version; it had no effect.
 * - `refused`: the store rejected the call; it had no effect.
 * - `budget`: the call was not made, to keep within the budget of calls.
 */
export type StoreFailureKind =
  'unavailable' | 'unknown' | 'conflict' | 'refused' | 'budget';

/** A failed call. */
export interface StoreFailure {
  readonly kind: StoreFailureKind;
  readonly text: string;
  /** Version found, for a conflict. */
  readonly foundVersion?: ObjectVersion;
}

/** The calls of the object store. */
export interface ObjectStore {
  /** Reads one object; `undefined` when there is none. */
  getObject(key: string): TaskEither<StoreFailure, StoredObject | undefined>;
  /** Reads every object whose key starts with the prefix. */
  listObjects(prefix: string): TaskEither<StoreFailure, ListAnswer>;
  /**
   * Writes an object if its version is the one expected, 0 meaning that it must not exist.
   * Returns the new version.
   */
  updateObject(
    key: string,
    expectedVersion: ObjectVersion,
    value: Uint8Array,
  ): TaskEither<StoreFailure, ObjectVersion>;
  /** Deletes an object if its version is the one expected. Returns the version of the deletion. */
  deleteObject(
    key: string,
    expectedVersion: ObjectVersion,
  ): TaskEither<StoreFailure, ObjectVersion>;
  /** Waits up to `waitMs` for changes after a revision under a prefix. */
  watchObjects(
    prefix: string,
    afterRevision: ObjectVersion,
    waitMs: number,
  ): TaskEither<StoreFailure, WatchAnswer>;
}
