/**
 * What the daemon knows of the store: sessions, assignments, the configuration and drains. It is
 * filled by one list and kept up to date by one watch, and stays as it is while the store is down.
 */
import * as E from 'fp-ts/lib/Either.js';

import type {Log} from '@dottereldrift/core/log.js';
import {isSameMember} from '@dottereldrift/core/member.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {HostName, Member, ServiceName} from '@dottereldrift/core/types.js';
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
  parseAssignment,
} from '@dottereldrift/ownership/assignment_record.js';
import type {VersionedAssignment} from '@dottereldrift/ownership/types.js';
import type {
  ObjectChange,
  ObjectStore,
  StoredObject,
} from '@dottereldrift/store/types.js';

/** Keys of the configuration in the store. */
export const SUBMITTED_MANIFEST_KEY = 'manifest/submitted';
export const ACCEPTED_MANIFEST_KEY = 'manifest/accepted';
export const MANIFEST_STATUS_KEY = 'manifest/status';
/** Prefix of the keys of drains in the store. */
export const DRAIN_PREFIX = 'drains/';

/**
 * Longest wait of one watch. A watch whose connection broke unseen is noticed only when it ends, so
 * this and the store's grace together stay below the time in which a configuration is in force.
 */
const WATCH_WAIT_MS = 3_000;
const RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 2_000;

/** The daemon's copy of the store. */
export class StoreView {
  private readonly sessions = new Map<HostName, VersionedSession>();
  private readonly assignments = new Map<ServiceName, VersionedAssignment>();
  private readonly drains = new Map<HostName, number>();
  private accepted: AcceptedManifest | undefined;
  private acceptedVersion = 0;
  private submitted: StoredObject | undefined;
  private status:
    {readonly value: ManifestStatus; readonly version: number} | undefined;
  private readonly listeners: Array<() => void> = [];
  private revision = -1;
  private isStopped = false;
  private lastContactMs = -Infinity;

  constructor(
    private readonly store: ObjectStore,
    private readonly system: System,
    private readonly log: Log,
  ) {}

  /** Calls back after every change. */
  addListener(listener: () => void): void {
    this.listeners.push(listener);
  }

  getSession(host: HostName): VersionedSession | undefined {
    return this.sessions.get(host);
  }

  /** Returns the sessions that have not ended. */
  getLiveSessions(): readonly Session[] {
    return [...this.sessions.values()]
      .map(entry => entry.session)
      .filter(session => !session.isEnded);
  }

  /** Tells whether a member is known to have ended for good. */
  isEnded(member: Member): boolean {
    const entry = this.sessions.get(member.host);
    if (entry === undefined) return false;
    return entry.session.isEnded || !isSameMember(entry.session.member, member);
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

  /** Takes over an object that was just read or written. */
  applyObject(object: StoredObject): void {
    if (this.tryApply(object)) this.notifyListeners();
  }

  /** Follows the store until it is stopped. */
  async run(): Promise<void> {
    let failures = 0;
    while (!this.isStopped) {
      const isDone =
        this.revision < 0 ? await this.tryLoad() : await this.tryFollow();
      failures = isDone ? 0 : failures + 1;
      if (!isDone) await waitFor(this.system, this.getRetryDelayMs(failures));
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private getRetryDelayMs(failures: number): number {
    const limit = Math.min(
      MAX_RETRY_DELAY_MS,
      RETRY_DELAY_MS * 2 ** Math.min(failures, 10),
    );
    return limit * (0.5 + this.system.getRandom() / 2);
  }

  private async tryLoad(): Promise<boolean> {
    const listed = await this.store.listObjects('')();
    if (E.isLeft(listed)) {
      this.log.writeWarning('Cannot read the store.', {
        reason: listed.left.text,
      });
      return false;
    }
    for (const object of listed.right.objects) this.tryApply(object);
    this.removeMissing(listed.right.objects);
    this.revision = listed.right.revision;
    this.recordContact();
    this.notifyListeners();
    return true;
  }

  private async tryFollow(): Promise<boolean> {
    const watched = await this.store.watchObjects(
      '',
      this.revision,
      WATCH_WAIT_MS,
    )();
    if (E.isLeft(watched)) {
      this.log.writeWarning('Cannot watch the store.', {
        reason: watched.left.text,
      });
      return false;
    }
    this.recordContact();
    if (watched.right.isReset) {
      this.revision = -1;
      return true;
    }
    if (!(await this.tryReadChanges(watched.right.changes))) return false;
    this.revision = watched.right.revision;
    if (watched.right.changes.length > 0) this.notifyListeners();
    return true;
  }

  private async tryReadChanges(
    changes: readonly ObjectChange[],
  ): Promise<boolean> {
    const results = await Promise.all(
      changes.map(change => this.tryReadChange(change)),
    );
    return results.every(isRead => isRead);
  }

  private async tryReadChange(change: ObjectChange): Promise<boolean> {
    if (change.isDeleted) {
      this.removeObject(change.key);
      return true;
    }
    if (this.getKnownVersion(change.key) >= change.version) return true;
    const read = await this.store.getObject(change.key)();
    if (E.isLeft(read)) return false;
    if (read.right !== undefined) this.tryApply(read.right);
    return true;
  }

  private getKnownVersion(key: string): number {
    if (key.startsWith(SESSION_PREFIX)) {
      return this.sessions.get(key.slice(SESSION_PREFIX.length))?.version ?? 0;
    }
    if (key.startsWith(ASSIGNMENT_PREFIX)) {
      return (
        this.assignments.get(key.slice(ASSIGNMENT_PREFIX.length))?.version ?? 0
      );
    }
    return 0;
  }

  private tryApply(object: StoredObject): boolean {
    try {
      this.applyKnownObject(object);
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
    if (this.getKnownVersion(key) >= version) return;
    if (key.startsWith(SESSION_PREFIX)) {
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
  }

  private removeObject(key: string): void {
    if (key.startsWith(DRAIN_PREFIX))
      this.drains.delete(key.slice(DRAIN_PREFIX.length));
    if (key.startsWith(SESSION_PREFIX))
      this.sessions.delete(key.slice(SESSION_PREFIX.length));
  }

  private removeMissing(objects: readonly StoredObject[]): void {
    const present = new Set(objects.map(object => object.key));
    for (const host of this.drains.keys()) {
      if (!present.has(`${DRAIN_PREFIX}${host}`)) this.drains.delete(host);
    }
    for (const host of this.sessions.keys()) {
      if (!present.has(`${SESSION_PREFIX}${host}`)) this.sessions.delete(host);
    }
  }

  private recordContact(): void {
    this.lastContactMs = this.system.getNow().monotonicMs;
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}

function parseJson<T>(value: Uint8Array): T {
  return JSON.parse(Buffer.from(value).toString('utf8')) as T;
}
