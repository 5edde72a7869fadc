/**
 * Versions of objects and revisions of the store. A store that was restored from a backup continues from the
 * backup's revision and gives out later revisions a second time. Each restoration starts a new era, so a version
 * consists of an era and a revision, and versions of a later era are higher than all versions of an earlier one.
 *
 * Both parts are packed into one number, so that versions keep their order under `<`, in sorting and on the wire, and
 * versions of era 0, that of a store without eras, are plain revisions.
 */
import type {ObjectVersion} from './types.js';

const REVISION_BITS = 41;
/** Number of revisions of one era. */
const REVISION_LIMIT = 2 ** REVISION_BITS;

/** Highest era that a version can hold; both parts together fit into a safe integer. */
export const MAX_ERA = 2 ** (53 - REVISION_BITS) - 1;

/** Returns the version for an era of the store and a revision. Revisions are below 2^41. */
export function createVersion(era: number, revision: number): ObjectVersion {
  return era * REVISION_LIMIT + revision;
}

/** Returns the era of a version; 0 for a store without eras. */
export function getEra(version: ObjectVersion): number {
  return version <= 0 ? 0 : Math.floor(version / REVISION_LIMIT);
}

/** Returns the revision that the store itself uses for a version. */
export function getRevision(version: ObjectVersion): number {
  return version <= 0 ? version : version % REVISION_LIMIT;
}

/** Returns a version in the form `era.revision`, for logs. */
export function formatVersion(version: ObjectVersion): string {
  return `${getEra(version)}.${getRevision(version)}`;
}

/** An object as known from the store or from another daemon. */
export interface VersionedValue {
  /** Version at which the object was read; conditional updates expect it. */
  readonly version: ObjectVersion;
  /**
   * Version by which values of one object are ordered in time; absent if it equals `version`. It is of an earlier era
   * if the value was written before the store was restored: the version at which it was written or, if that is not
   * certain, the one that it replaced.
   */
  readonly origin?: ObjectVersion;
  /** Whether the restored store does not contain the object. */
  readonly isAbsent?: boolean;
}

/** Returns the version by which a value is ordered in time. */
export function getOrigin({version, origin}: VersionedValue): ObjectVersion {
  return origin ?? version;
}

/** Returns the version that a conditional update of an object expects; 0 if the object must not exist. */
export function getExpectedVersion(
  known: VersionedValue | undefined,
): ObjectVersion {
  return known === undefined || known.isAbsent === true ? 0 : known.version;
}

/**
 * Returns whether a value was written at the version at which the store has the object, and thus in its present era.
 * Other values may be older than what the store contained before it was restored, or may have been replaced by a
 * writer that did not know the era yet.
 */
export function isOfCurrentEra(known: VersionedValue): boolean {
  return getOrigin(known) === known.version;
}
