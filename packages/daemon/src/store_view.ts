/**
 * The daemon's in-memory copy of the store: sessions, assignments, the configuration and drains. It is
 * updated from the store itself or through a relay and keeps its last state while neither responds. An
 * object never reverts to an earlier version, regardless of the source of the update.
 *
 * A store that was restored from a backup may contain older values than this copy. The copy keeps the value that was
 * written last (see `VersionedValue.origin`) and only takes on the version at which the store has the object now, so
 * that the daemon responsible for the object can write the value again.
 */
import type {Log} from '@dottereldrift/core/log.js';
import {isSameMember} from '@dottereldrift/core/member.js';
import type {System} from '@dottereldrift/core/system.js';
import type {
  HostName,
  Member,
  ServiceName,
  Token,
} from '@dottereldrift/core/types.js';
import {chooseNewer} from '@dottereldrift/manifest/acceptance.js';
import type {
  AcceptedManifest,
  ManifestStatus,
} from '@dottereldrift/manifest/types.js';
import {
  parseSession,
  SESSION_PREFIX,
} from '@dottereldrift/membership/session_record.js';
import type {
  Session,
  VersionedSession,
} from '@dottereldrift/membership/types.js';
import {
  ASSIGNMENT_PREFIX,
  encodeAssignment,
  getAssignmentKey,
  parseAssignment,
} from '@dottereldrift/ownership/assignment_record.js';
import type {VersionedAssignment} from '@dottereldrift/ownership/types.js';
import type {StoredObject} from '@dottereldrift/store/types.js';
import {
  formatVersion,
  getEra,
  getExpectedVersion,
  getOrigin,
  isOfCurrentEra,
  type VersionedValue,
} from '@dottereldrift/store/version.js';

/** Store keys of the configuration. */
export const SUBMITTED_MANIFEST_KEY = 'manifest/submitted';
export const ACCEPTED_MANIFEST_KEY = 'manifest/accepted';
export const MANIFEST_STATUS_KEY = 'manifest/status';
/** Prefix of the store keys of drains. */
export const DRAIN_PREFIX = 'drains/';

/** Called with the key of each object that has changed. */
export type ChangeListener = (key: string) => void;

/** In-memory copy of the objects in the store. */
export class StoreView {
  private readonly sessions = new Map<HostName, VersionedSession>();
  /** Cached sessions that have not ended; undefined after a session or a drain has changed. */
  private liveSessions: readonly Session[] | undefined;
  private liveMembers:
    | {
        readonly sessions: readonly Session[];
        readonly members: readonly Member[];
      }
    | undefined;
  private readonly assignments = new Map<ServiceName, VersionedAssignment>();
  private readonly drainVersions = new Map<HostName, number>();
  private accepted: AcceptedManifest | undefined;
  private acceptedAtMs = -Infinity;
  private submitted: StoredObject | undefined;
  private status:
    {readonly value: ManifestStatus; readonly version: number} | undefined;
  /** Objects other than assignments, in their stored form. */
  private readonly objects = new Map<string, StoredObject>();
  /** Versions at which objects were deleted, by key. */
  private readonly deletionVersions = new Map<string, number>();
  private readonly listeners: Array<() => void> = [];
  private readonly changeListeners = new Set<ChangeListener>();
  private refreshObject: (key: string) => Promise<void> = () =>
    Promise.resolve();
  private revision = -1;
  /** Era of the first revision up to which the view was complete; undefined before the first load. */
  private firstEra: number | undefined;
  private lastContactMs = -Infinity;

  constructor(
    private readonly system: System,
    private readonly log: Log,
  ) {}

  /** Sets the function that reads an object from the store again when it is out of date. */
  setRefresher(refreshObject: (key: string) => Promise<void>): void {
    this.refreshObject = refreshObject;
  }

  /** Reads an assignment again if it is older than a generation that another daemon has seen. */
  async refreshAssignment(
    service: ServiceName,
    generation: number,
  ): Promise<void> {
    const known = this.assignments.get(service)?.assignment.generation ?? 0;
    if (known < generation) await this.refreshObject(getAssignmentKey(service));
  }

  /** Adds a listener that is called after each batch of changes. */
  addListener(listener: () => void): void {
    this.listeners.push(listener);
  }

  getSession(host: HostName): VersionedSession | undefined {
    return this.sessions.get(host);
  }

  /**
   * Returns the sessions that have not ended. The same array is returned until a session or a drain
   * changes, so callers can cache derived data by its identity.
   */
  getLiveSessions(): readonly Session[] {
    this.liveSessions ??= [...this.sessions.values()]
      .map(entry => entry.session)
      .filter(session => !session.isEnded);
    return this.liveSessions;
  }

  /** Returns the members of the live sessions; the same array for the same sessions. */
  getLiveMembers(): readonly Member[] {
    const sessions = this.getLiveSessions();
    if (this.liveMembers?.sessions !== sessions) {
      const members = sessions.map(({member}) => member);
      this.liveMembers = {sessions, members};
    }
    return this.liveMembers.members;
  }

  /**
   * Checks whether a member is known to have ended permanently. The result is reliable only if the view
   * is complete up to the version of the object that names the member; otherwise the member may be
   * newer than the known session of its host.
   */
  isEnded(member: Member): boolean {
    const entry = this.sessions.get(member.host);
    if (entry === undefined) return false;
    return entry.session.isEnded || !isSameMember(entry.session.member, member);
  }

  /** Returns the live member that takes over the slices of an earlier incarnation on the same host. */
  getSuccessor({host, incarnation}: Member): Member | undefined {
    const session = this.sessions.get(host)?.session;
    if (session === undefined || session.isEnded) return undefined;
    return session.follows?.includes(incarnation) === true
      ? session.member
      : undefined;
  }

  /** Returns the highest token that an earlier server incarnation on a host may hold. */
  getVoidToken(host: HostName, service: ServiceName): Token {
    const servers = this.sessions.get(host)?.session.servers ?? [];
    return servers.find(server => server.service === service)?.voidToken ?? 0;
  }

  getAssignment(service: ServiceName): VersionedAssignment | undefined {
    return this.assignments.get(service);
  }

  getAssignments(): readonly VersionedAssignment[] {
    return [...this.assignments.values()];
  }

  /**
   * Returns the assignments by which this daemon may grant its slices. Others may be older than what an earlier
   * process on this host, or another host, granted by.
   */
  getGrantableAssignments(): readonly VersionedAssignment[] {
    return this.getAssignments().filter(entry => !this.isUncertain(entry));
  }

  getManifest(): AcceptedManifest | undefined {
    return this.accepted;
  }

  /** Returns the milliseconds for which the present configuration has been in force; infinite without one. */
  getManifestAgeMs(): number {
    return this.system.getNow().monotonicMs - this.acceptedAtMs;
  }

  /** Returns the version that an update of the accepted configuration expects; 0 if the store has none. */
  getAcceptedVersion(): number {
    return getExpectedVersion(this.objects.get(ACCEPTED_MANIFEST_KEY));
  }

  getSubmitted(): StoredObject | undefined {
    return this.submitted;
  }

  getStatus():
    {readonly value: ManifestStatus; readonly version: number} | undefined {
    return this.status;
  }

  isDraining(host: HostName): boolean {
    return this.drainVersions.has(host);
  }

  getDrainVersion(host: HostName): number {
    return this.drainVersions.get(host) ?? 0;
  }

  /** Checks whether the whole store has been read at least once. */
  isLoaded(): boolean {
    return this.revision >= 0;
  }

  /** Returns the milliseconds since the store last responded; infinite if it never has. */
  getSilenceMs(): number {
    return this.system.getNow().monotonicMs - this.lastContactMs;
  }

  /** Returns the store revision up to which the view is complete; -1 before the first load. */
  getRevision(): number {
    return this.revision;
  }

  /**
   * Checks whether the view contains everything that the store contained at a version. Objects are also
   * read and written individually, so the view may contain an object but not yet an older one that it
   * depends on.
   */
  isComplete(version: number): boolean {
    return this.revision >= version;
  }

  /** Records that the view is complete up to a revision. */
  setRevision(revision: number): void {
    if (revision < 0 || revision <= this.revision) return;
    const era = getEra(revision);
    const before = this.firstEra === undefined ? era : getEra(this.revision);
    this.firstEra ??= era;
    if (era > before)
      this.log.writeWarning(
        'The store was restored; the view is of a new era.',
        {
          era,
          before,
          revision: formatVersion(revision),
          highestRevision: formatVersion(this.revision),
        },
      );
    this.revision = revision;
  }

  /** Returns the era of the store up to which the view is complete; 0 before the first load. */
  getEra(): number {
    return getEra(this.revision);
  }

  /**
   * Returns whether a value may be older than what the store contained before it was restored: it was written in an
   * earlier era, and this daemon did not have it then. The absence of an object is uncertain if the store has been
   * restored and this daemon did not read it before.
   */
  isUncertain(known: VersionedValue | undefined): boolean {
    if (known === undefined)
      return (
        this.firstEra === undefined ||
        (this.firstEra > 0 && this.firstEra === this.getEra())
      );
    // The first objects may arrive before the revision up to which they are complete.
    const firstEra = this.firstEra ?? getEra(known.version);
    return getEra(getOrigin(known)) < firstEra;
  }

  /** Records that the store responded to this or another daemon the given time ago. */
  recordContact(silenceMs = 0): void {
    const atMs = this.system.getNow().monotonicMs - silenceMs;
    this.lastContactMs = Math.max(this.lastContactMs, atMs);
  }

  /** Adds a listener that is called with the key of each changed object. Returns a function that removes it. */
  addChangeListener(listener: ChangeListener): () => void {
    this.changeListeners.add(listener);
    return () => this.changeListeners.delete(listener);
  }

  /** Applies an object that was just read or written. */
  applyObject(object: StoredObject): void {
    if (this.tryApply(object)) this.notifyListeners();
  }

  /** Applies the result of reading a single object; undefined if the store does not contain it. */
  applyRead(key: string, object: StoredObject | undefined): void {
    if (object !== undefined) this.applyObject(object);
    else if (getEra(this.getKnownVersion(key)) < this.getEra())
      this.setAbsent(key, this.revision);
  }

  /** Applies objects that were read together and notifies listeners once. */
  applyObjects(objects: readonly StoredObject[]): void {
    const applied = objects.filter(object => this.tryApply(object));
    if (applied.length > 0) this.notifyListeners();
  }

  /** Applies an assignment that was reconstructed from a diff. */
  applyAssignment(entry: VersionedAssignment): void {
    const key = getAssignmentKey(entry.assignment.service);
    const known = this.assignments.get(entry.assignment.service);
    if (this.getKnownVersion(key) >= entry.version) return;
    if (known !== undefined && getOrigin(known) > getOrigin(entry)) return;
    this.assignments.set(entry.assignment.service, entry);
    this.notifyChange(key);
    this.notifyListeners();
  }

  /** Applies the deletion of an object. */
  removeObject(key: string, version: number): void {
    if (this.getKnownVersion(key) >= version) return;
    this.deletionVersions.set(key, version);
    this.objects.delete(key);
    this.liveSessions = undefined;
    if (key.startsWith(DRAIN_PREFIX))
      this.drainVersions.delete(key.slice(DRAIN_PREFIX.length));
    if (key.startsWith(SESSION_PREFIX))
      this.sessions.delete(key.slice(SESSION_PREFIX.length));
    this.notifyChange(key);
    this.notifyListeners();
  }

  /**
   * Removes the objects that are not in a listing made at a revision. The accepted configuration is never
   * deleted: where it is not listed, it comes from another source. Sessions and assignments of an earlier era are
   * not deleted either: a listing of a restored store may lack them.
   */
  removeUnlisted(listedKeys: readonly string[], revision: number): void {
    const listed = new Set([...listedKeys, ACCEPTED_MANIFEST_KEY]);
    for (const key of this.listKeys()) {
      if (listed.has(key)) continue;
      if (isMaintainedByDaemons(key) && this.isFromBefore(key, revision))
        this.setAbsent(key, revision);
      else if (!key.startsWith(ASSIGNMENT_PREFIX))
        this.removeObject(key, revision);
    }
  }

  /** Returns whether a value was written before the era of a revision, so that a listing may lack it. */
  private isFromBefore(key: string, revision: number): boolean {
    const known = this.getVersions(key);
    return known !== undefined && getEra(getOrigin(known)) < getEra(revision);
  }

  /** Records that the restored store does not contain an object that was known before. */
  setAbsent(key: string, revision: number): void {
    const known = this.getObject(key);
    if (known === undefined || known.version >= revision) return;
    this.replace({
      ...known,
      version: revision,
      origin: getOrigin(known),
      isAbsent: true,
    });
    this.notifyChange(key);
    this.notifyListeners();
  }

  /** Returns the object with a key in its stored form. */
  getObject(key: string): StoredObject | undefined {
    if (!key.startsWith(ASSIGNMENT_PREFIX)) return this.objects.get(key);
    const entry = this.assignments.get(key.slice(ASSIGNMENT_PREFIX.length));
    if (entry === undefined) return undefined;
    const {assignment, ...versions} = entry;
    return {key, ...versions, value: encodeAssignment(assignment)};
  }

  /** Returns whether the store has the known value of an object, and had it written in the era of a revision. */
  isCurrent(key: string, revision: number): boolean {
    const known = this.getVersions(key);
    return (
      known !== undefined &&
      isOfCurrentEra(known) &&
      getEra(known.version) >= getEra(revision)
    );
  }

  /** Returns the version at which a key was deleted; 0 if it was not deleted. */
  getDeletionVersion(key: string): number {
    return this.deletionVersions.get(key) ?? 0;
  }

  /** Returns the keys of all objects in the view. */
  listKeys(): readonly string[] {
    const services = [...this.assignments.keys()];
    return [...this.objects.keys(), ...services.map(getAssignmentKey)];
  }

  /** Returns the highest known version of a key, including deletions; 0 if there is none. */
  getKnownVersion(key: string): number {
    const version = key.startsWith(ASSIGNMENT_PREFIX)
      ? this.assignments.get(key.slice(ASSIGNMENT_PREFIX.length))?.version
      : this.objects.get(key)?.version;
    return Math.max(version ?? 0, this.getDeletionVersion(key));
  }

  private tryApply(object: StoredObject): boolean {
    try {
      const merged =
        object.key === ACCEPTED_MANIFEST_KEY
          ? this.mergeAccepted(object)
          : this.mergeObject(object);
      if (merged === undefined) return false;
      this.replace(merged);
      this.notifyChange(object.key);
      return true;
    } catch (error) {
      this.log.writeError('Failed to apply an object from the store.', {
        key: object.key,
        reason: String(error),
      });
      return false;
    }
  }

  /**
   * Returns the object to keep in place of the known one, or undefined if nothing changes. The version is the higher
   * one, that of the store. The value is the one that was written last, which an older backup may not contain.
   */
  private mergeObject(object: StoredObject): StoredObject | undefined {
    const {key} = object;
    const known = this.getVersions(key);
    const isNewer = object.version > this.getKnownVersion(key);
    if (known === undefined) return isNewer ? object : undefined;
    const isRevived = this.isRevived(object);
    const isWrittenLater = getOrigin(object) > getOrigin(known) && !isRevived;
    if (!isNewer) {
      if (!isWrittenLater) return undefined;
      const origin = getOrigin(object);
      return {key, value: object.value, ...known, origin};
    }
    const isSame = getOrigin(object) === getOrigin(known) && !isRevived;
    const kept = isWrittenLater || isSame ? undefined : this.getObject(key);
    if (kept === undefined) return object;
    if (!Buffer.from(kept.value).equals(object.value))
      this.log.writeInfo(
        'The restored store has an older value of an object.',
        {
          key,
          found: formatVersion(getOrigin(object)),
          kept: formatVersion(getOrigin(known)),
        },
      );
    return {...object, value: kept.value, origin: getOrigin(known)};
  }

  /**
   * Returns whether a member whose end is known has written its session in a restored store that lacked the end. The
   * member has been fenced, so its end still holds.
   */
  private isRevived({key, version, value}: StoredObject): boolean {
    if (getEra(version) === 0 || !key.startsWith(SESSION_PREFIX)) return false;
    const known = this.sessions.get(key.slice(SESSION_PREFIX.length))?.session;
    if (known?.isEnded !== true) return false;
    const {member, isEnded} = parseSession(value);
    return !isEnded && isSameMember(member, known.member);
  }

  private getVersions(key: string): VersionedValue | undefined {
    if (!key.startsWith(ASSIGNMENT_PREFIX))
      return selectVersions(this.objects.get(key));
    const service = key.slice(ASSIGNMENT_PREFIX.length);
    return selectVersions(this.assignments.get(service));
  }

  /** Replaces the known value and version of an object. */
  private replace(object: StoredObject): void {
    const {key, value, ...versions} = object;
    const {version} = versions;
    if (key.startsWith(SESSION_PREFIX)) {
      this.liveSessions = undefined;
      this.sessions.set(key.slice(SESSION_PREFIX.length), {
        ...versions,
        session: parseSession(value),
      });
    } else if (key.startsWith(ASSIGNMENT_PREFIX)) {
      this.assignments.set(key.slice(ASSIGNMENT_PREFIX.length), {
        ...versions,
        assignment: parseAssignment(value),
      });
    } else if (key.startsWith(DRAIN_PREFIX)) {
      this.liveSessions = undefined;
      this.drainVersions.set(key.slice(DRAIN_PREFIX.length), version);
    } else if (key === ACCEPTED_MANIFEST_KEY) {
      this.replaceAccepted(object);
    } else if (key === SUBMITTED_MANIFEST_KEY) {
      this.submitted = object;
    } else if (key === MANIFEST_STATUS_KEY) {
      this.status = {value: parseJson<ManifestStatus>(value), version};
    }
    if (!key.startsWith(ASSIGNMENT_PREFIX)) this.objects.set(key, object);
  }

  /**
   * Returns the configuration to keep in place of the known one, or undefined if nothing changes. The generation
   * decides, because a restored store, and daemons that have read it since, may have an older one.
   */
  private mergeAccepted(object: StoredObject): StoredObject | undefined {
    const known = this.objects.get(ACCEPTED_MANIFEST_KEY);
    if (known === undefined || this.accepted === undefined) return object;
    const received = parseJson<AcceptedManifest>(object.value);
    const version = Math.max(known.version, object.version);
    // The operator may use a number again that the restored store has lost.
    const isWrittenAgain =
      received.generation === this.accepted.generation &&
      getEra(getOrigin(object)) > getEra(getOrigin(known));
    if (isWrittenAgain || chooseNewer(this.accepted, received) === received)
      return {...object, version};
    return version === known.version
      ? undefined
      : {...known, version, origin: getOrigin(known)};
  }

  private replaceAccepted(object: StoredObject): void {
    const received = parseJson<AcceptedManifest>(object.value);
    if (received.generation !== this.accepted?.generation)
      this.acceptedAtMs = this.system.getNow().monotonicMs;
    this.accepted = received;
  }

  private notifyChange(key: string): void {
    for (const listener of this.changeListeners) listener(key);
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}

/** Returns whether daemons write an object again after the store was restored; operators write all others. */
function isMaintainedByDaemons(key: string): boolean {
  return key.startsWith(SESSION_PREFIX) || key.startsWith(ASSIGNMENT_PREFIX);
}

function selectVersions(
  known: VersionedValue | undefined,
): VersionedValue | undefined {
  if (known === undefined) return undefined;
  const {version, origin, isAbsent} = known;
  return {
    version,
    ...(origin === undefined ? {} : {origin}),
    ...(isAbsent === undefined ? {} : {isAbsent}),
  };
}

function parseJson<T>(value: Uint8Array): T {
  return JSON.parse(Buffer.from(value).toString('utf8')) as T;
}
