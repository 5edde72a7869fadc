/**
 * Updates the view directly from the store: lists all objects once and then watches for changes.
 */
import * as E from 'fp-ts/lib/Either.js';

import {getErrorText} from '@dottereldrift/core/errors.js';
import type {Log} from '@dottereldrift/core/log.js';
import type {System} from '@dottereldrift/core/system.js';
import {ConsistencyChoice} from '@dottereldrift/store/consistency_choice.js';
import type {
  ObjectChange,
  ObjectStore,
  StoredObject,
  StoreFailure,
} from '@dottereldrift/store/types.js';

import type {StoreView} from './store_view.js';

/** Reads and watches the store on behalf of a view. */
export class StoreWatcher {
  private mustLoad = true;
  /** Whether the last watch found that its history is gone. */
  private wasReset = false;
  private readonly consistency: ConsistencyChoice;
  private readonly inFlight = new Map<string, Promise<void>>();

  constructor(
    system: System,
    private readonly store: ObjectStore,
    private readonly view: StoreView,
    private readonly log: Log,
  ) {
    this.consistency = new ConsistencyChoice(system);
  }

  /** Loads the store, or waits up to `waitMs` for changes and applies them; returns false on failure. */
  async tryRefreshView(waitMs: number): Promise<boolean> {
    if (this.mustLoad && this.view.isLoaded()) this.mustLoad = false;
    if (this.mustLoad) return this.tryLoad();
    const revision = this.view.getRevision();
    // Every decision on an object rests on a conditional update or a vote, never on how current the view is.
    const watched = await this.store.watchObjects('', revision, waitMs, {
      consistency: this.consistency.choose('serializable'),
    })();
    if (E.isLeft(watched)) {
      this.log.writeWarning('Cannot watch the store.', {
        reason: watched.left.text,
      });
      return false;
    }
    if (watched.right.isReset) return this.tryLoadAfterReset(revision);
    this.wasReset = false;
    if (!(await this.tryReadChanges(watched.right.changes))) return false;
    this.view.setRevision(watched.right.revision);
    this.view.recordContact();
    return true;
  }

  /** Reads an object into the view; concurrent calls for the same key share one read. */
  refreshObject(key: string): Promise<void> {
    const existing = this.inFlight.get(key);
    if (existing !== undefined) return existing;
    const pendingRead = this.tryReadObject(key)
      .catch((error: unknown) => {
        this.log.writeError('Failed to apply an object that was read again.', {
          key,
          reason: getErrorText(error),
        });
      })
      .finally(() => {
        this.inFlight.delete(key);
      });
    this.inFlight.set(key, pendingRead);
    return pendingRead;
  }

  /** Loads the store again; returns false also if the load before did not help, so that the caller waits. */
  private async tryLoadAfterReset(revision: number): Promise<boolean> {
    const isRepeated = this.wasReset;
    this.wasReset = true;
    this.consistency.recordReset();
    const isLoaded = await this.tryLoad();
    this.log.writeInfo(
      'The store has dropped its history; it was read again.',
      {
        revision,
        loadedRevision: this.view.getRevision(),
        isLoaded,
        isRepeated,
      },
    );
    return isLoaded && !isRepeated;
  }

  private async tryLoad(): Promise<boolean> {
    const consistency = this.consistency.choose('serializable');
    const listed = await this.store.listObjects('', consistency)();
    if (E.isLeft(listed)) {
      this.log.writeWarning('Cannot read the store.', {
        reason: listed.left.text,
      });
      return false;
    }
    const {objects, revision} = listed.right;
    this.view.setRevision(revision);
    this.view.recordContact();
    this.view.applyObjects(objects);
    const keys = objects.map(object => object.key);
    this.view.removeUnlisted(keys, revision);
    this.mustLoad = false;
    return true;
  }

  /** Reads the changed objects and applies them together, so that no listener sees a partial update. */
  private async tryReadChanges(
    changes: readonly ObjectChange[],
  ): Promise<boolean> {
    const newer = changes.filter(
      ({key, version}) => this.view.getKnownVersion(key) < version,
    );
    const reads = await Promise.all(
      newer
        .filter(change => !change.isDeleted)
        .map(change => this.readChanged(change)),
    );
    const objects = reads.flatMap(read =>
      E.isRight(read) && read.right !== undefined ? [read.right] : [],
    );
    this.view.applyObjects(objects);
    for (const {key, version, isDeleted} of newer) {
      if (isDeleted) this.view.removeObject(key, version);
    }
    return reads.every(E.isRight);
  }

  private async readChanged({
    key,
    version,
    value,
    origin,
  }: ObjectChange): Promise<E.Either<StoreFailure, StoredObject | undefined>> {
    if (value !== undefined)
      return E.right({
        key,
        version,
        value,
        ...(origin === undefined ? {} : {origin}),
      });
    return this.store.getObject(key)();
  }

  private async tryReadObject(key: string): Promise<void> {
    const read = await this.store.getObject(key)();
    if (E.isRight(read)) this.view.applyRead(key, read.right);
  }
}
