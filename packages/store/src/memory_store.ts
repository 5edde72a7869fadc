/**
 * In-memory object store with versions, conditional updates and watches. A stand-in for the platform's store
 * serves it over HTTP.
 *
 * The store can return to a copy of an earlier state, as one that was restored from a backup does. The era rises by one,
 * and revisions after that of the copy are given out again. Versions of an earlier era match no conditional update, and
 * a watch that follows one is reset.
 */
import * as E from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';

import {formatMessage} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';

import type {
  ListResult,
  ObjectChange,
  ObjectStore,
  ObjectVersion,
  StoreFailure,
  StoredObject,
  WatchResult,
} from './types.js';
import {
  createVersion,
  formatVersion,
  getEra,
  getOrigin,
  getRevision,
} from './version.js';

/** Maximum size of an object's value. */
export const MAX_VALUE_BYTES = 1_000_000;

const MAX_KEPT_CHANGES = 10_000;

/** A state of the store that it can return to. */
export interface StoreCopy {
  readonly revision: number;
  readonly objects: readonly StoredObject[];
}

interface Waiter {
  readonly prefix: string;
  readonly wake: () => void;
}

/** In-memory object store. */
export class MemoryStore implements ObjectStore {
  private readonly objects = new Map<string, StoredObject>();
  private readonly changes: ObjectChange[] = [];
  /** Version after which all changes are kept. */
  private firstKeptVersion = 0;
  private version = 0;
  private readonly waiters = new Set<Waiter>();

  constructor(private readonly system: System) {}

  /** Returns a copy of the present state. */
  createCopy(): StoreCopy {
    const objects = [...this.objects.values()];
    return {revision: getRevision(this.version), objects};
  }

  /** Returns the version up to which the store has been written. */
  getVersion(): ObjectVersion {
    return this.version;
  }

  /** Returns to the state of a copy, in the next era unless the caller specifies one, and ends all watches. */
  restore(copy: StoreCopy, era = getEra(this.version) + 1): void {
    this.version = createVersion(era, copy.revision);
    this.firstKeptVersion = this.version;
    this.changes.length = 0;
    this.objects.clear();
    for (const {key, value, ...versions} of copy.objects) {
      const origin = getOrigin(versions);
      const version = createVersion(era, getRevision(versions.version));
      const isSameEra = version === origin;
      const object = {key, version, value, ...(isSameEra ? {} : {origin})};
      this.objects.set(key, object);
    }
    for (const waiter of [...this.waiters]) waiter.wake();
  }

  getObject(key: string): TaskEither<StoreFailure, StoredObject | undefined> {
    return () => Promise.resolve(E.right(this.objects.get(key)));
  }

  listObjects(prefix: string): TaskEither<StoreFailure, ListResult> {
    return () => {
      const objects = [...this.objects.values()].filter(object =>
        object.key.startsWith(prefix),
      );
      return Promise.resolve(E.right({revision: this.version, objects}));
    };
  }

  /** Updates an object; its origin is in the present era unless the caller specifies that of an earlier one. */
  updateObject(
    key: string,
    expectedVersion: ObjectVersion,
    value: Uint8Array,
    originEra?: number,
  ): TaskEither<StoreFailure, ObjectVersion> {
    return () =>
      Promise.resolve(this.tryUpdate(key, expectedVersion, value, originEra));
  }

  deleteObject(
    key: string,
    expectedVersion: ObjectVersion,
  ): TaskEither<StoreFailure, ObjectVersion> {
    return () => Promise.resolve(this.tryDelete(key, expectedVersion));
  }

  watchObjects(
    prefix: string,
    afterRevision: ObjectVersion,
    waitMs: number,
  ): TaskEither<StoreFailure, WatchResult> {
    return async () => {
      if (!this.hasChangesAfter(prefix, afterRevision))
        await this.waitForChange(prefix, waitMs);
      return E.right(this.getChanges(prefix, afterRevision));
    };
  }

  private tryUpdate(
    key: string,
    expectedVersion: ObjectVersion,
    value: Uint8Array,
    originEra = getEra(this.version),
  ): E.Either<StoreFailure, ObjectVersion> {
    if (value.byteLength > MAX_VALUE_BYTES) {
      const reason = `the value has ${value.byteLength} bytes, at most ${MAX_VALUE_BYTES} are allowed`;
      return E.left({kind: 'refused', text: formatMessage('DD2004', {reason})});
    }
    const found = this.objects.get(key)?.version ?? 0;
    if (found !== expectedVersion)
      return E.left(createConflict(expectedVersion, found));
    const version = this.recordChange(key, false);
    const origin = createVersion(originEra, getRevision(version));
    this.objects.set(key, {
      key,
      version,
      value,
      ...(origin === version ? {} : {origin}),
    });
    this.wakeWaiters(key);
    return E.right(version);
  }

  private tryDelete(
    key: string,
    expectedVersion: ObjectVersion,
  ): E.Either<StoreFailure, ObjectVersion> {
    const found = this.objects.get(key)?.version ?? 0;
    if (found !== expectedVersion || found === 0) {
      return E.left(createConflict(expectedVersion, found));
    }
    const version = this.recordChange(key, true);
    this.objects.delete(key);
    this.wakeWaiters(key);
    return E.right(version);
  }

  private recordChange(key: string, isDeleted: boolean): ObjectVersion {
    this.version += 1;
    this.changes.push({key, version: this.version, isDeleted});
    if (this.changes.length > MAX_KEPT_CHANGES) {
      const dropped = this.changes.splice(0, MAX_KEPT_CHANGES / 2);
      this.firstKeptVersion = dropped[dropped.length - 1]?.version ?? 0;
    }
    return this.version;
  }

  private wakeWaiters(key: string): void {
    for (const waiter of this.waiters) {
      if (key.startsWith(waiter.prefix)) waiter.wake();
    }
  }

  private hasChangesAfter(
    prefix: string,
    afterRevision: ObjectVersion,
  ): boolean {
    if (this.isUnknown(afterRevision)) return true;
    for (let index = this.changes.length - 1; index >= 0; index--) {
      const change = this.changes[index];
      if (change === undefined || change.version <= afterRevision) return false;
      if (change.key.startsWith(prefix)) return true;
    }
    return false;
  }

  /** Returns whether the changes after a version are not kept, or the version was not given out in this era. */
  private isUnknown(afterVersion: ObjectVersion): boolean {
    return afterVersion < this.firstKeptVersion || afterVersion > this.version;
  }

  private waitForChange(prefix: string, waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        cancel();
        this.waiters.delete(waiter);
        resolve();
      };
      const waiter: Waiter = {prefix, wake: finish};
      const cancel = this.system.startTimer(waitMs, finish);
      this.waiters.add(waiter);
    });
  }

  private getChanges(
    prefix: string,
    afterRevision: ObjectVersion,
  ): WatchResult {
    if (this.isUnknown(afterRevision))
      return {revision: this.version, changes: [], isReset: true};
    const latest = new Map<string, ObjectChange>();
    for (const change of this.changes) {
      if (change.version > afterRevision && change.key.startsWith(prefix)) {
        latest.set(change.key, change);
      }
    }
    return {
      revision: this.version,
      changes: [...latest.values()],
      isReset: false,
    };
  }
}

function createConflict(
  expected: ObjectVersion,
  found: ObjectVersion,
): StoreFailure {
  return {
    kind: 'conflict',
    text: formatMessage('DD2003', {
      expected: formatVersion(expected),
      found: formatVersion(found),
    }),
    foundVersion: found,
  };
}
