/**
 * What the daemon knows of the store: sessions, assignments, the configuration and drains. It is kept
 * up to date from the store itself or by a relay, and stays as it is while neither answers. No object
 * ever goes back to an earlier version, whatever it comes from.
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

/** Keys of the configuration in the store. */
export const SUBMITTED_MANIFEST_KEY = 'manifest/submitted';
export const ACCEPTED_MANIFEST_KEY = 'manifest/accepted';
export const MANIFEST_STATUS_KEY = 'manifest/status';
/** Prefix of the keys of drains in the store. */
export const DRAIN_PREFIX = 'drains/';

/** Told of each object that has changed, by its key. */
export type ChangeListener = (key: string) => void;

/** The daemon's copy of the store. */
export class StoreView {
  private readonly sessions = new Map<HostName, VersionedSession>();
  /** Sessions that have not ended; undefined after a session or a drain has changed. */
  private live: readonly Session[] | undefined;
  private readonly assignments = new Map<ServiceName, VersionedAssignment>();
  private readonly drains = new Map<HostName, number>();
  private accepted: AcceptedManifest | undefined;
  private acceptedVersion = 0;
  private submitted: StoredObject | undefined;
  private status:
    {readonly value: ManifestStatus; readonly version: number} | undefined;
  /** Objects other than assignments, as they are in the store. */
  private readonly objects = new Map<string, StoredObject>();
  /** Versions of the deletions of objects. */
  private readonly deletions = new Map<string, number>();
  private readonly listeners: Array<() => void> = [];
  private readonly changeListeners = new Set<ChangeListener>();
  private refresh: (key: string) => Promise<void> = () => Promise.resolve();
  private revision = -1;
  private lastContactMs = -Infinity;

  constructor(
    private readonly system: System,
    private readonly log: Log,
  ) {}

  /** Sets how an object is read again when it is known to be out of date. */
  setRefresher(refresh: (key: string) => Promise<void>): void {
    this.refresh = refresh;
  }

  /** Reads an assignment again, unless it has reached a generation that another daemon knows. */
  async refreshAssignment(
    service: ServiceName,
    generation: number,
  ): Promise<void> {
    const known = this.assignments.get(service)?.assignment.generation ?? 0;
    if (known < generation) await this.refresh(getAssignmentKey(service));
  }

  /** Calls back after every change. */
  addListener(listener: () => void): void {
    this.listeners.push(listener);
  }

  getSession(host: HostName): VersionedSession | undefined {
    return this.sessions.get(host);
  }

  /**
   * Returns the sessions that have not ended: the same list until a session or a drain changes, so that
   * what is derived from it can be kept as long.
   */
  getLiveSessions(): readonly Session[] {
    this.live ??= [...this.sessions.values()]
      .map(entry => entry.session)
      .filter(session => !session.isEnded);
    return this.live;
  }

  /**
   * Tells whether a member is known to have ended for good. One that an object names whose version is not
   * complete here may be later than the session that is known of its host.
   */
  isEnded(member: Member): boolean {
    const entry = this.sessions.get(member.host);
    if (entry === undefined) return false;
    return entry.session.isEnded || !isSameMember(entry.session.member, member);
  }

  /** Returns the member to which the slices of an earlier run of its host's daemon pass. */
  getFollower({host, incarnation}: Member): Member | undefined {
    const session = this.sessions.get(host)?.session;
    if (session === undefined || session.isEnded) return undefined;
    return session.follows?.includes(incarnation) === true
      ? session.member
      : undefined;
  }

  /** Returns the highest token that an earlier life of a host's server may hold. */
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

  getManifest(): AcceptedManifest | undefined {
    return this.accepted;
  }

  getAcceptedVersion(): number {
    return this.acceptedVersion;
  }

  getSubmitted(): StoredObject | undefined {
    return this.submitted;
  }

  getStatus():
    {readonly value: ManifestStatus; readonly version: number} | undefined {
    return this.status;
  }

  isDraining(host: HostName): boolean {
    return this.drains.has(host);
  }

  getDrainVersion(host: HostName): number {
    return this.drains.get(host) ?? 0;
  }

  /** Tells whether the whole store has been read at least once. */
  isLoaded(): boolean {
    return this.revision >= 0;
  }

  /** Milliseconds since the store last answered; infinite when it never has. */
  getSilenceMs(): number {
    return this.system.getNow().monotonicMs - this.lastContactMs;
  }

  /** Revision of the store up to which everything is known; -1 before the first. */
  getRevision(): number {
    return this.revision;
  }

  /**
   * Tells whether everything is known that the store had at a version. Objects are also read and written one
   * at a time, so one may be known while another that is older and that it rests on is not.
   */
  isComplete(version: number): boolean {
    return this.revision >= version;
  }

  /** Notes that everything up to a revision is known. */
  setRevision(revision: number): void {
    this.revision = Math.max(this.revision, revision);
  }

  /** Notes that the store has answered, here or elsewhere, some milliseconds ago. */
  recordContact(silenceMs = 0): void {
    const atMs = this.system.getNow().monotonicMs - silenceMs;
    this.lastContactMs = Math.max(this.lastContactMs, atMs);
  }

  /** Calls back with the key of every object that changes. Returns what ends this. */
  addChangeListener(listener: ChangeListener): () => void {
    this.changeListeners.add(listener);
    return () => this.changeListeners.delete(listener);
  }

  /** Takes over an object that was just read or written. */
  applyObject(object: StoredObject): void {
    if (this.tryApply(object)) this.notifyListeners();
  }

  /** Takes over objects that were read together, and calls back once. */
  applyObjects(objects: readonly StoredObject[]): void {
    const applied = objects.filter(object => this.tryApply(object));
    if (applied.length > 0) this.notifyListeners();
  }

  /** Takes over an assignment that was put together from a difference. */
  applyAssignment(entry: VersionedAssignment): void {
    const key = getAssignmentKey(entry.assignment.service);
    if (this.getKnownVersion(key) >= entry.version) return;
    this.assignments.set(entry.assignment.service, entry);
    this.notifyChange(key);
    this.notifyListeners();
  }

  /** Takes note that an object was deleted. */
  removeObject(key: string, version: number): void {
    if (this.getKnownVersion(key) >= version) return;
    this.deletions.set(key, version);
    this.objects.delete(key);
    this.live = undefined;
    if (key.startsWith(DRAIN_PREFIX))
      this.drains.delete(key.slice(DRAIN_PREFIX.length));
    if (key.startsWith(SESSION_PREFIX))
      this.sessions.delete(key.slice(SESSION_PREFIX.length));
    this.notifyChange(key);
    this.notifyListeners();
  }

  /** Removes the objects that a list made at a revision did not have. */
  removeMissing(presentKeys: readonly string[], revision: number): void {
    const present = new Set(presentKeys);
    for (const key of [...this.objects.keys()]) {
      if (!present.has(key)) this.removeObject(key, revision);
    }
  }

  /** Returns the object of a key as it is in the store. */
  getObject(key: string): StoredObject | undefined {
    if (!key.startsWith(ASSIGNMENT_PREFIX)) return this.objects.get(key);
    const entry = this.assignments.get(key.slice(ASSIGNMENT_PREFIX.length));
    if (entry === undefined) return undefined;
    const value = encodeAssignment(entry.assignment);
    return {key, version: entry.version, value};
  }

  /** Returns the version of the deletion of a key; 0 when it was not deleted. */
  getDeletionVersion(key: string): number {
    return this.deletions.get(key) ?? 0;
  }

  /** Returns the keys of all objects. */
  listKeys(): readonly string[] {
    const services = [...this.assignments.keys()];
    return [...this.objects.keys(), ...services.map(getAssignmentKey)];
  }

  /** Returns the highest version of a key that is known; 0 when there is none. */
  getKnownVersion(key: string): number {
    const version = key.startsWith(ASSIGNMENT_PREFIX)
      ? this.assignments.get(key.slice(ASSIGNMENT_PREFIX.length))?.version
      : this.objects.get(key)?.version;
    return Math.max(version ?? 0, this.getDeletionVersion(key));
  }

  private tryApply(object: StoredObject): boolean {
    if (this.getKnownVersion(object.key) >= object.version) return false;
    try {
      this.applyKnownObject(object);
      this.notifyChange(object.key);
      return true;
    } catch (error) {
      this.log.writeError('An object in the store cannot be read.', {
        key: object.key,
        reason: String(error),
      });
      return false;
    }
  }

  private applyKnownObject(object: StoredObject): void {
    const {key, version, value} = object;
    if (key.startsWith(SESSION_PREFIX)) {
      this.live = undefined;
      this.sessions.set(key.slice(SESSION_PREFIX.length), {
        session: parseSession(value),
        version,
      });
    } else if (key.startsWith(ASSIGNMENT_PREFIX)) {
      const assignment = parseAssignment(value);
      this.assignments.set(key.slice(ASSIGNMENT_PREFIX.length), {
        assignment,
        version,
      });
    } else if (key.startsWith(DRAIN_PREFIX)) {
      this.live = undefined;
      this.drains.set(key.slice(DRAIN_PREFIX.length), version);
    } else if (key === ACCEPTED_MANIFEST_KEY) {
      this.accepted = chooseNewer(
        this.accepted,
        parseJson<AcceptedManifest>(value),
      );
      this.acceptedVersion = Math.max(this.acceptedVersion, version);
    } else if (key === SUBMITTED_MANIFEST_KEY) {
      this.submitted = object;
    } else if (key === MANIFEST_STATUS_KEY) {
      this.status = {value: parseJson<ManifestStatus>(value), version};
    }
    if (!key.startsWith(ASSIGNMENT_PREFIX)) this.objects.set(key, object);
  }

  private notifyChange(key: string): void {
    for (const listener of this.changeListeners) listener(key);
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}

function parseJson<T>(value: Uint8Array): T {
  return JSON.parse(Buffer.from(value).toString('utf8')) as T;
}
