/**
 * Keeps the view up to date from the store itself: one list of everything, then one watch after the
 * other.
 */
import * as E from 'fp-ts/lib/Either.js';

import type {Log} from '@dottereldrift/core/log.js';
import type {
  ObjectChange,
  ObjectStore,
  StoredObject,
  StoreFailure,
} from '@dottereldrift/store/types.js';

import type {StoreView} from './store_view.js';

/** Follows the store. */
export class StoreWatcher {
  private mustLoad = true;
  private readonly underWay = new Map<string, Promise<void>>();

  constructor(
    private readonly store: ObjectStore,
    private readonly view: StoreView,
    private readonly log: Log,
  ) {}

  /** Reads what has changed, waiting for a change up to `waitMs`; false when the store fails. */
  async tryFollow(waitMs: number): Promise<boolean> {
    if (this.mustLoad && this.view.isLoaded()) this.mustLoad = false;
    if (this.mustLoad) return this.tryLoad();
    const revision = this.view.getRevision();
    const watched = await this.store.watchObjects('', revision, waitMs)();
    if (E.isLeft(watched)) {
      this.log.writeWarning('Cannot watch the store.', {
        reason: watched.left.text,
      });
      return false;
    }
    if (watched.right.isReset) return this.tryLoad();
    if (!(await this.tryReadChanges(watched.right.changes))) return false;
    this.view.setRevision(watched.right.revision);
    this.view.recordContact();
    return true;
  }

  /** Reads an object once, however often this is asked for at a time. */
  refreshObject(key: string): Promise<void> {
    const present = this.underWay.get(key);
    if (present !== undefined) return present;
    const reading = this.tryReadObject(key).then(() => {
      this.underWay.delete(key);
    });
    this.underWay.set(key, reading);
    return reading;
  }

  private async tryLoad(): Promise<boolean> {
    const listed = await this.store.listObjects('')();
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
    this.view.removeMissing(keys, revision);
    this.mustLoad = false;
    return true;
  }

  /** Reads changed objects, and takes them over together so that no listener sees a part. */
  private async tryReadChanges(
    changes: readonly ObjectChange[],
  ): Promise<boolean> {
    const unknown = changes.filter(
      ({key, version}) => this.view.getKnownVersion(key) < version,
    );
    const reads = await Promise.all(
      unknown
        .filter(change => !change.isDeleted)
        .map(change => this.readChanged(change)),
    );
    const objects = reads.flatMap(read =>
      E.isRight(read) && read.right !== undefined ? [read.right] : [],
    );
    this.view.applyObjects(objects);
    for (const {key, version, isDeleted} of unknown) {
      if (isDeleted) this.view.removeObject(key, version);
    }
    return reads.every(E.isRight);
  }

  private async readChanged({
    key,
    version,
    value,
  }: ObjectChange): Promise<E.Either<StoreFailure, StoredObject | undefined>> {
    if (value !== undefined) return E.right({key, version, value});
    return this.store.getObject(key)();
  }

  private async tryReadObject(key: string): Promise<void> {
    const read = await this.store.getObject(key)();
    if (E.isRight(read) && read.right !== undefined)
      this.view.applyObject(read.right);
  }
}
