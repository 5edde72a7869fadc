/**
 * An in-memory store that can be restored from a backup, as daemons see it through the adapter of the platform's
 * store: each restoration starts a new era, and revisions are given out again.
 */
import * as E from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';

import type {
  ListResult,
  ObjectStore,
  ObjectVersion,
  StoredObject,
  StoreFailure,
  WatchResult,
} from '@dottereldrift/store/types.js';
import {createVersion, getEra} from '@dottereldrift/store/version.js';

interface Entry {
  readonly value: Uint8Array;
  readonly revision: number;
  /** Era in which the value was written. */
  readonly era: number;
}

/** A state to which the store can return. */
export interface Backup {
  readonly entries: ReadonlyMap<string, Entry>;
  readonly revision: number;
}

/** A store that can return to an earlier state. */
export class RestorableStore implements ObjectStore {
  /** Keys of the updates that were made or refused, in order. */
  readonly updates: string[] = [];
  /** Number of calls that fail as `unavailable` from now on. */
  failures = 0;
  /** Called before each update reaches the store. */
  onUpdate: (key: string) => void = () => {};
  private entries: ReadonlyMap<string, Entry> = new Map();
  private revision = 0;
  private era = 0;

  /** Returns the present state. */
  getBackup(): Backup {
    return {entries: this.entries, revision: this.revision};
  }

  /** Returns to an earlier state, in a new era. */
  reset({entries, revision}: Backup): void {
    this.entries = entries;
    this.revision = revision;
    this.era += 1;
  }

  getObject(key: string): TaskEither<StoreFailure, StoredObject | undefined> {
    return () => {
      if (this.failures > 0) {
        this.failures -= 1;
        return Promise.resolve(E.left(createFailure('unavailable')));
      }
      return Promise.resolve(E.right(this.find(key)));
    };
  }

  listObjects(prefix: string): TaskEither<StoreFailure, ListResult> {
    return () => {
      const keys = [...this.entries.keys()].filter(key =>
        key.startsWith(prefix),
      );
      const objects = keys.flatMap(key => this.find(key) ?? []);
      const revision = createVersion(this.era, this.revision);
      return Promise.resolve(E.right({revision, objects}));
    };
  }

  updateObject(
    key: string,
    expectedVersion: ObjectVersion,
    value: Uint8Array,
  ): TaskEither<StoreFailure, ObjectVersion> {
    return () => {
      this.onUpdate(key);
      this.updates.push(key);
      return Promise.resolve(this.tryUpdate(key, expectedVersion, value));
    };
  }

  deleteObject(): TaskEither<StoreFailure, ObjectVersion> {
    return () => Promise.resolve(E.left(createFailure('refused')));
  }

  watchObjects(
    _prefix: string,
    afterRevision: ObjectVersion,
  ): TaskEither<StoreFailure, WatchResult> {
    return () => {
      const revision = createVersion(this.era, this.revision);
      const isReset = revision !== afterRevision;
      return Promise.resolve(E.right({revision, changes: [], isReset}));
    };
  }

  private find(key: string): StoredObject | undefined {
    const entry = this.entries.get(key);
    if (entry === undefined) return undefined;
    const {value, revision, era} = entry;
    return {
      key,
      version: createVersion(this.era, revision),
      ...(era === this.era ? {} : {origin: createVersion(era, revision)}),
      value,
    };
  }

  private tryUpdate(
    key: string,
    expectedVersion: ObjectVersion,
    value: Uint8Array,
  ): E.Either<StoreFailure, ObjectVersion> {
    const isOfOtherEra =
      expectedVersion !== 0 && getEra(expectedVersion) !== this.era;
    if (isOfOtherEra) return E.left(createFailure('conflict'));
    const foundVersion = this.find(key)?.version ?? 0;
    if (foundVersion !== expectedVersion)
      return E.left({...createFailure('conflict'), foundVersion});
    this.revision += 1;
    const {revision, era} = this;
    this.entries = new Map(this.entries).set(key, {value, revision, era});
    return E.right(createVersion(era, revision));
  }
}

function createFailure(kind: StoreFailure['kind']): StoreFailure {
  return {kind, text: kind};
}
