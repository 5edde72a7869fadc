/**
 * Tracks the backend servers on this host: what they announced, whether they are alive, and the
 * grants that they hold.
 */

import type {Log} from '@dottereldrift/core/log.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {Instant, ServiceName} from '@dottereldrift/core/types.js';
import type {ServerInfo} from '@dottereldrift/membership/types.js';
import {LEASE_DURATION_MS} from '@dottereldrift/membership/constants.js';
import type {Slice, SliceRef} from '@dottereldrift/ownership/types.js';
import type {ServiceRules} from '@dottereldrift/manifest/types.js';

import {
  HeartbeatGrants,
  type AdmissionStop,
  type KeyGrant,
  type KeyReport,
  isWithin,
} from './heartbeat_grants.js';
import type {GrantTracker, GrantSource} from './grant_tracker.js';
import {HeartbeatLongPoll} from './heartbeat_long_poll.js';
import {GrantSender} from './grant_sender.js';
import {ServerDepartures} from './server_departures.js';
import {ServerConnections} from './server_connections.js';
import {createServerPool} from './server_pool.js';
import {
  type LocalServer,
  type OwnedSlices,
  type PolicyFactory,
  PUSH_OPTIONS,
  type RegistrySession,
  type RegistryOptions,
  type ServerHeartbeat,
  type ServerPoolFactory,
} from './server_types.js';

/** Time without an announcement or heartbeat after which a server is considered lost. */
export const SERVER_SILENCE_MS = 3_000;
/** Shorter limit for a server that has also left grants unanswered. */
const UNANSWERED_SILENCE_MS = 1_500;
const UNANSWERED_LIMIT_MS = 1_000;
const CHECK_INTERVAL_MS = 100;
/**
 * Maximum delay of a heartbeat response while waiting for changes, in milliseconds: half of the 1 s
 * after which servers consider a response lost.
 */
const MAX_LONG_POLL_MS = 500;
/**
 * Time before the end of a server's grant by which it must be renewed, in milliseconds. A heartbeat
 * may be this late without the server losing keys.
 */
const RENEWAL_MARGIN_MS = 600;

interface Entry extends LocalServer {
  readonly lastSeenMs: number;
  /** When the server first announced that it is leaving; undefined until it does. */
  readonly leavingSinceMs: number | undefined;
}

/** Registers the backend servers on this host and manages their grants. */
export class ServerRegistry {
  private readonly entries = new Map<ServiceName, Entry>();
  private readonly grantTrackers = new Map<ServiceName, GrantTracker>();
  /** Services whose lost server may still hold a grant; their new server gets none until it expires. */
  private readonly awaitingLapse = new Set<ServiceName>();
  /** The last server of each service, used to recognise the same server incarnation. */
  private readonly lastInfos = new Map<ServiceName, ServerInfo>();
  /**
   * Services whose server incarnation has not been compared with the previous one yet, because the
   * store has not been read.
   */
  private readonly uncompared = new Set<ServiceName>();
  /** Time from which no previous daemon process can answer a server on this host. */
  private startedAt: Instant;
  private hasDroppedPreviousServers = false;
  private readonly lastHeartbeats = new Map<ServiceName, ServerHeartbeat>();
  private readonly departures: ServerDepartures;
  /** Number of rows omitted from the last response to each service's server because it was full. */
  private readonly leftOutRows = new Map<ServiceName, number>();
  private readonly longPoll: HeartbeatLongPoll;
  private drainingSinceMs: number | undefined;
  private isRevoking = false;
  private isStopped = false;

  constructor(
    private readonly system: System,
    private readonly session: RegistrySession,
    private readonly createPolicy: PolicyFactory,
    private readonly owned: OwnedSlices,
    /** Returns the rules of a service; undefined when none are in force. */
    readonly getRules: (service: ServiceName) => ServiceRules | undefined,
    private readonly log: Log,
    private readonly createPool: ServerPoolFactory = createServerPool,
    private readonly options: RegistryOptions = PUSH_OPTIONS,
  ) {
    this.startedAt = system.getNow();
    this.longPoll = new HeartbeatLongPoll(system);
    this.departures = new ServerDepartures(system, () =>
      session.getPreviousServers(),
    );
  }

  /** Handles an announcement, which registers a new server or confirms that a known one is alive. */
  receiveAnnouncement(announced: ServerInfo, instanceId?: string): void {
    const present = this.entries.get(announced.service);
    const lastSeenMs = this.system.getNow().monotonicMs;
    if (present !== undefined && isSameServer(present.info, announced)) {
      const info = keepVoidToken(announced, present.info);
      const leavingSinceMs = info.isLeaving
        ? (present.leavingSinceMs ?? lastSeenMs)
        : undefined;
      this.entries.set(info.service, {
        ...present,
        info,
        lastSeenMs,
        leavingSinceMs,
      });
      present.policy.setSlots(info.slots);
      if (!isSameInfo(present.info, info)) this.publishServers();
      return;
    }
    if (present !== undefined)
      this.dropLostServer(
        announced.service,
        'it was replaced by another server',
      );
    this.entries.set(announced.service, {
      info: announced,
      lastSeenMs,
      leavingSinceMs: this.findLeavingSince(announced, lastSeenMs),
      connections: new ServerConnections(() => this.createPool(announced)),
      policy: this.createPolicy(announced.service, announced.slots),
      instanceId,
    });
    this.log.writeInfo('A backend server announced itself.', {
      service: announced.service,
      life: announced.life ?? '',
      isLeaving: announced.isLeaving,
    });
    this.uncompared.add(announced.service);
    this.compareIncarnations();
    this.sendGrants();
  }

  /**
   * Answers the heartbeat of a server with its grant. Undefined when nothing can be granted; such a
   * response neither renews nor revokes anything.
   */
  answerHeartbeat(
    service: ServiceName,
    report: KeyReport | undefined,
    waitedMs: number,
  ): KeyGrant | undefined {
    if (report === undefined) return undefined;
    const entry = this.entries.get(service);
    const tracker = this.getGrantTracker(service);
    if (entry === undefined || !(tracker instanceof HeartbeatGrants))
      return undefined;
    // What one server incarnation holds says nothing about the grants of a previous one.
    if (this.isAwaitingLapse(service)) return undefined;
    const mayGrant =
      !this.uncompared.has(service) &&
      this.isFencingChecked(service) &&
      this.owned.mayGrant(service);
    const voidToken = entry.info.voidToken ?? 0;
    const grant = tracker.answerHeartbeat(
      report,
      mayGrant,
      voidToken,
      waitedMs,
    );
    if (grant !== undefined) {
      this.writeLeftOutRows(
        service,
        tracker.getLeftOutRows(),
        grant.keys.length,
      );
      this.writeGrantChange(service, report, grant);
    }
    return grant;
  }

  /** Logs a response that changes what the server holds. */
  private writeGrantChange(
    service: ServiceName,
    {held}: KeyReport,
    {keys, holdMs}: KeyGrant,
  ): void {
    const added = keys.filter(row => !isWithin(row, held)).length;
    const leftOut = held.filter(row => !isWithin(row, keys)).length;
    if (added === 0 && leftOut === 0) return;
    const generation = this.owned.getAssignment(service)?.generation ?? 0;
    this.log.writeInfo(
      'A heartbeat response changes the keys that the server holds.',
      {
        service,
        life: this.entries.get(service)?.info.life ?? '',
        generation,
        added,
        leftOut,
        holdMs,
      },
    );
  }

  /** Logs a warning when a response omits more rows than the previous one for lack of space. */
  private writeLeftOutRows(
    service: ServiceName,
    leftOutRows: number,
    rows: number,
  ): void {
    const before = this.leftOutRows.get(service) ?? 0;
    this.leftOutRows.set(service, leftOutRows);
    if (leftOutRows <= before) return;
    this.log.writeWarning(
      'Some keys were not granted because the heartbeat response is full.',
      {service, rows, leftOutRows},
    );
  }

  /** Tells whether the grants of a service are sent in responses to heartbeats. */
  isGrantingByHeartbeat(service: ServiceName): boolean {
    return this.options.isGrantingByHeartbeat && this.mayHoldGrants(service);
  }

  /**
   * Requests the release of slices with the server's next heartbeat. Returns those for which no
   * server on this host can start a request any more.
   */
  releaseSlices(
    service: ServiceName,
    refs: readonly SliceRef[],
    stopAdmission: AdmissionStop,
  ): readonly SliceRef[] {
    const tracker = this.getGrantTracker(service);
    if (!(tracker instanceof HeartbeatGrants)) return [];
    tracker.requestRelease(refs, stopAdmission);
    this.longPoll.wake();
    return tracker.findReleased(refs);
  }

  /** Lists the slices whose release was requested with the server's next heartbeat. */
  listRequestedReleases(service: ServiceName): readonly SliceRef[] {
    const tracker = this.grantTrackers.get(service);
    return tracker instanceof HeartbeatGrants
      ? tracker.listRequestedReleases()
      : [];
  }

  /**
   * Assigns each new server incarnation the token up to which slices may have been granted to a
   * previous one.
   */
  private compareIncarnations(): void {
    if (!this.session.isJoined()) return;
    for (const service of this.uncompared) {
      const entry = this.entries.get(service);
      if (entry !== undefined)
        this.entries.set(service, this.compareEntry(entry));
    }
    const isChanged = this.uncompared.size > 0;
    this.uncompared.clear();
    if (isChanged) this.publishServers();
  }

  private compareEntry(entry: Entry): Entry {
    const info = this.compareIncarnation(entry.info);
    const nowMs = this.system.getNow().monotonicMs;
    const leavingSinceMs =
      entry.leavingSinceMs ?? this.findLeavingSince(info, nowMs);
    return {...entry, info, leavingSinceMs};
  }

  private compareIncarnation(info: ServerInfo): ServerInfo {
    const last = this.findLastInfo(info.service);
    if (last !== undefined && isSameServerIncarnation(last, info))
      return keepDeparture(keepVoidToken(info, last), last);
    // The previous daemon process may have granted keys to another server incarnation, which sends
    // no heartbeats to this process.
    if (this.session.hasAdoptedSession()) this.awaitingLapse.add(info.service);
    if (info.life === undefined) return info;
    const voidToken = this.owned.getHighestToken(info.service);
    this.log.writeInfo(
      'A new server incarnation was detected; its slices get new tokens.',
      {
        service: info.service,
        life: info.life,
        earlierLife: last?.life ?? '',
        voidToken,
        grantLeftMs: Math.round(this.getGrantLeftMs(info.service)),
      },
    );
    return {...info, voidToken};
  }

  private findLastInfo(service: ServiceName): ServerInfo | undefined {
    const previous = this.session
      .getPreviousServers()
      .find(info => info.service === service);
    return this.lastInfos.get(service) ?? previous;
  }

  /**
   * Returns when a server began to leave. If it is already leaving at its first heartbeat, a
   * previous daemon process may have acknowledged its departure at an unknown time.
   */
  private findLeavingSince(
    info: ServerInfo,
    nowMs: number,
  ): number | undefined {
    if (!info.isLeaving) return undefined;
    return this.options.isGrantingByHeartbeat ? -Infinity : nowMs;
  }

  /**
   * Handles a heartbeat that was received `waitedMs` milliseconds ago. Returns the grant to answer
   * with, undefined when there is none, or `stale` if the heartbeat was sent by a previous server
   * incarnation or was overtaken by a later one of the same server incarnation.
   */
  receiveHeartbeat(
    heartbeat: ServerHeartbeat,
    waitedMs = 0,
  ): KeyGrant | 'stale' | undefined {
    const {info, instanceId, report} = heartbeat;
    const last = this.lastHeartbeats.get(info.service);
    const isSilent = !this.entries.has(info.service);
    if (last !== undefined && isOutOfOrder(heartbeat, last, isSilent))
      return 'stale';
    this.lastHeartbeats.set(info.service, heartbeat);
    const isLeaving = info.isLeaving || this.departures.hasLeft(heartbeat);
    this.receiveAnnouncement({...info, isLeaving}, instanceId);
    return this.answerHeartbeat(info.service, report, waitedMs);
  }

  /**
   * Delays the response to a heartbeat so that it includes changes that occur meanwhile. Resolves
   * to the time waited, in milliseconds.
   */
  async waitForChanges({info, report}: ServerHeartbeat): Promise<number> {
    if (report === undefined) return 0;
    const {service} = info;
    const tracker = this.getGrantTracker(service);
    // The next owner is waiting for the keys that the server has released.
    const isUrgent = info.isLeaving || report.freed.length > 0;
    const isKnown = this.entries.get(service)?.info.life === info.life;
    const mayWait = this.isFencingChecked(service) && isKnown && !isUrgent;
    if (!mayWait || !(tracker instanceof HeartbeatGrants)) return 0;
    const nowMs = this.system.getNow().monotonicMs;
    const leftMs = tracker.getAcknowledgedEnd().monotonicMs - nowMs;
    // A server without a grant loses nothing while it waits for one.
    const renewalMs = leftMs > 0 ? leftMs - RENEWAL_MARGIN_MS : Infinity;
    const limitMs = Math.min(MAX_LONG_POLL_MS, renewalMs);
    if (limitMs <= 0) return 0;
    const voidToken = this.entries.get(service)?.info.voidToken ?? 0;
    const changes = {
      hasChanges: () => tracker.hasChanges(report, voidToken),
      // The next owner of keys being released waits for the server to confirm the release.
      isExpectingMore: () =>
        !tracker.isReleasing() && this.owned.isExpecting(service),
    };
    return this.longPoll.waitForChanges(changes, limitMs);
  }

  /**
   * Handles a departure announced under an instance identifier; the server may keep serving for a
   * while. A departure of an unknown instance is matched with its first heartbeat.
   */
  receiveDeparture(instanceId: string): void {
    const last = [...this.lastHeartbeats.values()].find(
      heartbeat => heartbeat.instanceId === instanceId,
    );
    this.log.writeInfo('A backend server announced its shutdown.', {
      instance: instanceId,
      service: last?.info.service ?? '',
      life: last?.info.life ?? '',
    });
    if (last === undefined) {
      this.departures.recordUnknownDeparture(instanceId);
      return;
    }
    this.departures.recordDeparture(last);
    this.removeServer(last.info.service);
  }

  /** Tells whether a server on this host will keep running while this daemon restarts. */
  hasRemainingServer(): boolean {
    const heard = [...this.entries.values()].map(({info}) => info);
    const known =
      heard.length > 0 || this.hasDroppedPreviousServers
        ? heard
        : this.session.getPreviousServers();
    return known.some(({isLeaving}) => !isLeaving);
  }

  /** Marks a server as leaving: it gets new work for `leavingAdmissionMs` only. */
  startLeaving(service: ServiceName): boolean {
    const present = this.entries.get(service);
    if (present === undefined) return false;
    this.entries.set(service, {
      ...present,
      info: {...present.info, isLeaving: true},
      leavingSinceMs:
        present.leavingSinceMs ?? this.system.getNow().monotonicMs,
    });
    this.publishServers();
    return true;
  }

  /** Handles the deregistration of a server: by its own statement it runs nothing any more. */
  removeServer(service: ServiceName): void {
    if (this.options.isGrantingByHeartbeat) {
      // The server may keep serving for a while; it is removed once its heartbeats stop.
      this.startLeaving(service);
      return;
    }
    const isKnown = this.entries.has(service) && !this.uncompared.has(service);
    this.removeEntry(service, 'it deregistered');
    // Another server that was lost, or that the previous daemon process knew, may still hold a
    // grant.
    if (isKnown && !this.isAwaitingLapse(service))
      this.getGrantTracker(service).dropGrants();
    this.publishServers();
  }

  /** Sets whether operators are draining this host. */
  setDraining(isDraining: boolean): void {
    this.drainingSinceMs = isDraining
      ? (this.drainingSinceMs ?? this.system.getNow().monotonicMs)
      : undefined;
  }

  /** Returns how long the last grant of a service remains in force, in milliseconds. */
  getGrantLeftMs(service: ServiceName): number {
    const nowMs = this.system.getNow().monotonicMs;
    return Math.max(0, this.getGrantTracker(service).getLatestEndMs() - nowMs);
  }

  /**
   * Tells whether a server may still be given work: it is not leaving, or began to leave only
   * recently.
   */
  isAccepting(service: ServiceName): boolean {
    const nowMs = this.system.getNow().monotonicMs;
    const sinceMs = Math.min(
      this.entries.get(service)?.leavingSinceMs ?? Infinity,
      this.drainingSinceMs ?? Infinity,
    );
    return nowMs - sinceMs < this.options.leavingAdmissionMs;
  }

  getServer(service: ServiceName): LocalServer | undefined {
    return this.entries.get(service);
  }

  getServers(): readonly LocalServer[] {
    return [...this.entries.values()];
  }

  /** Tells whether a slice may be served: its server has acknowledged the grant. */
  isGranted(service: ServiceName, slice: Slice): boolean {
    if (!this.isFencingChecked(service)) return true;
    return this.getGrantTracker(service).isGranted(slice);
  }

  /** Returns the time until which a server may start a request that is sent to it now. */
  getGrantEnd(service: ServiceName, slice: Slice | undefined): Instant {
    return slice !== undefined && this.isFencingChecked(service)
      ? this.getGrantTracker(service).getAcknowledgedEnd()
      : this.session.getEnd();
  }

  /**
   * Tries to ensure that no server on this host can start a request for a released slice: the
   * server has acknowledged a grant without the slice, or every grant has expired.
   */
  async tryRevoke(service: ServiceName): Promise<boolean> {
    const tracker = this.getGrantTracker(service);
    if (tracker.hasLapsed()) return true;
    // Grants issued under previous rules expire by themselves; servers without fencing are sent
    // none.
    if (!this.mayHoldGrants(service)) return false;
    const entry = this.entries.get(service);
    if (entry === undefined || !this.isSoleGrantHolder(service)) return false;
    return tracker.tryConfirm(entry.connections.getPool());
  }

  /** Waits until no server on this host can start a request under a grant that it was sent. */
  async endGrants(): Promise<void> {
    this.isRevoking = true;
    for (const [service, tracker] of this.grantTrackers) {
      if (await this.tryRevoke(service)) continue;
      while (!tracker.hasLapsed())
        await waitFor(this.system, CHECK_INTERVAL_MS);
    }
    // The previous daemon process may have granted keys of a service for which this process has no
    // tracker.
    while (this.getAgeMs() < LEASE_DURATION_MS)
      await waitFor(this.system, CHECK_INTERVAL_MS);
  }

  /** Sends every server its slices and the end of the lease. */
  sendGrants(): void {
    this.longPoll.wake();
    if (this.isRevoking) return;
    for (const [service, entry] of this.entries) {
      if (this.isFencingChecked(service) && this.isSoleGrantHolder(service))
        void this.getGrantTracker(service).send(entry.connections.getPool());
    }
  }

  /**
   * Checks for lost servers periodically until `stop` is called. The listeners of this daemon are
   * bound by now, so a previous daemon process cannot issue grants any more; it may have done so
   * after this object was created.
   */
  start(): void {
    this.startedAt = this.system.getNow();
    this.grantTrackers.clear();
    const check = () => {
      if (this.isStopped) return;
      this.checkServers();
      this.system.startTimer(CHECK_INTERVAL_MS, check);
    };
    check();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(
      [...this.entries.values()].map(entry => entry.connections.destroy()),
    );
  }

  private checkServers(): void {
    this.compareIncarnations();
    this.dropPreviousServers();
    for (const [service, entry] of this.entries) {
      if (this.isSilent(entry)) {
        this.dropLostServer(service, 'its heartbeats stopped');
        this.publishServers();
      } else if (!this.isAccepting(service)) {
        entry.policy.refuseAll('DD3024');
      }
    }
  }

  private isSilent(entry: Entry): boolean {
    const silenceMs = this.system.getNow().monotonicMs - entry.lastSeenMs;
    if (silenceMs > SERVER_SILENCE_MS) return true;
    const unansweredMs = this.getGrantTracker(
      entry.info.service,
    ).getUnansweredMs();
    return (
      silenceMs > UNANSWERED_SILENCE_MS && unansweredMs > UNANSWERED_LIMIT_MS
    );
  }

  /** Removes a server that may keep running requests until its grants expire. */
  private dropLostServer(service: ServiceName, reason: string): void {
    this.awaitingLapse.add(service);
    this.removeEntry(service, reason);
  }

  private removeEntry(service: ServiceName, reason: string): void {
    const entry = this.entries.get(service);
    if (entry === undefined) return;
    this.log.writeWarning('A backend server was removed.', {service, reason});
    this.entries.delete(service);
    const isCompared = !this.uncompared.delete(service);
    if (isCompared) this.lastInfos.set(service, entry.info);
    this.getGrantTracker(service).reset();
    entry.policy.refuseAll('DD3024');
    if (this.options.isGrantingByHeartbeat)
      void this.endConnections(entry.connections);
    else void entry.connections.destroy();
  }

  /** Lets running requests finish: a server whose heartbeats are late may still answer them. */
  private async endConnections(connections: ServerConnections): Promise<void> {
    await connections.close();
  }

  /**
   * Publishes the servers whose incarnations have been compared. Until then the servers published
   * by the previous daemon process remain in the session.
   */
  private publishServers(): void {
    if (!this.session.isJoined()) return;
    const compared = [...this.entries.values()]
      .map(entry => entry.info)
      .filter(info => !this.uncompared.has(info.service));
    this.session.setServers(compared);
  }

  /**
   * Removes servers of the previous daemon process from the session if they have not been heard
   * since this process started.
   */
  private dropPreviousServers(): void {
    const isDue =
      !this.hasDroppedPreviousServers &&
      this.session.isJoined() &&
      this.getAgeMs() > SERVER_SILENCE_MS;
    if (!isDue || this.session.getPreviousServers().length === 0) return;
    this.hasDroppedPreviousServers = true;
    this.publishServers();
  }

  /** Returns how long this process has been running, in milliseconds. */
  private getAgeMs(): number {
    return this.system.getNow().monotonicMs - this.startedAt.monotonicMs;
  }

  private isFencingChecked(service: ServiceName): boolean {
    return this.getRules(service)?.fencing === 'checked';
  }

  /** Tells whether servers may hold grants; without rules they may. */
  private mayHoldGrants(service: ServiceName): boolean {
    return this.getRules(service)?.fencing !== 'none';
  }

  private isAwaitingLapse(service: ServiceName): boolean {
    if (
      this.awaitingLapse.has(service) &&
      this.getGrantTracker(service).hasLapsed()
    )
      this.awaitingLapse.delete(service);
    return this.awaitingLapse.has(service);
  }

  /** Tells whether the registered server is the only one of its service that may hold a grant. */
  private isSoleGrantHolder(service: ServiceName): boolean {
    return !this.uncompared.has(service) && !this.isAwaitingLapse(service);
  }

  private getGrantTracker(service: ServiceName): GrantTracker {
    const present = this.grantTrackers.get(service);
    if (present !== undefined) return present;
    const tracker = this.createGrantTracker(service);
    this.grantTrackers.set(service, tracker);
    return tracker;
  }

  private createGrantTracker(service: ServiceName): GrantTracker {
    const source: GrantSource = {
      getAssignment: () => this.owned.getAssignment(service),
      getSlices: () => this.owned.getHeldSlices(service),
      getLeaseEnd: () => this.session.getEnd(),
    };
    const onRefused = () => {
      if (!this.entries.has(service)) return;
      this.dropLostServer(service, 'it refused a connection');
      this.publishServers();
    };
    const {system, log, options, startedAt} = this;
    // The previous daemon process may have issued grants until the end of its lease.
    const previousGrantsEnd = {
      monotonicMs: startedAt.monotonicMs + LEASE_DURATION_MS,
      wallMs: startedAt.wallMs + LEASE_DURATION_MS,
    };
    return options.isGrantingByHeartbeat
      ? new HeartbeatGrants(
          system,
          source,
          options,
          previousGrantsEnd.monotonicMs,
        )
      : new GrantSender(
          service,
          system,
          source,
          onRefused,
          log,
          previousGrantsEnd,
        );
  }
}

/**
 * A server incarnation that has announced its departure cannot withdraw it. A server that does not
 * identify its incarnation may be a new one.
 */
function keepDeparture(info: ServerInfo, last: ServerInfo): ServerInfo {
  const hasLeft = info.life !== undefined && last.isLeaving;
  return hasLeft ? {...info, isLeaving: true} : info;
}

/** Servers that do not identify their incarnation are compared by address. */
function isSameServerIncarnation(a: ServerInfo, b: ServerInfo): boolean {
  return a.life === undefined ? isSameServer(a, b) : a.life === b.life;
}

function isSameServer(a: ServerInfo, b: ServerInfo): boolean {
  const isSameAddress =
    a.address.ip === b.address.ip && a.address.port === b.address.port;
  return isSameAddress && a.life === b.life;
}

/**
 * Tells whether a heartbeat is older than the last one. Server incarnations are ordered by
 * wall-clock start time only while the last one is alive: the clock may have been set back before
 * the next one started.
 */
function isOutOfOrder(
  next: ServerHeartbeat,
  last: ServerHeartbeat,
  isLastSilent: boolean,
): boolean {
  return next.info.life === last.info.life
    ? next.sequence <= last.sequence
    : next.startedAtMs < last.startedAtMs && !isLastSilent;
}

function keepVoidToken(info: ServerInfo, known: ServerInfo): ServerInfo {
  const {voidToken} = known;
  return voidToken === undefined ? info : {...info, voidToken};
}

function isSameInfo(a: ServerInfo, b: ServerInfo): boolean {
  return (
    a.slots === b.slots &&
    a.connections === b.connections &&
    a.isLeaving === b.isLeaving
  );
}
