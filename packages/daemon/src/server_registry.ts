/**
 * The backend servers on this host: what they announced, whether they answer, and the grants that
 * they hold.
 */
import type {Dispatcher} from 'undici';

import type {Log} from '@dottereldrift/core/log.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {Instant, ServiceName} from '@dottereldrift/core/types.js';
import type {ServerInfo} from '@dottereldrift/membership/types.js';
import {LEASE_DURATION_MS} from '@dottereldrift/membership/constants.js';
import type {Slice, SliceRef} from '@dottereldrift/ownership/types.js';
import type {ServiceRules} from '@dottereldrift/manifest/types.js';

import {
  AnsweredGrants,
  type AdmissionStop,
  type HoldGrant,
  type HoldReport,
  isWithin,
} from './answered_grants.js';
import type {GrantBook, GrantSource} from './grant_book.js';
import {HeartbeatWait} from './heartbeat_wait.js';
import {GrantSender} from './grant_sender.js';
import {ServerLeaves} from './server_leaves.js';
import {createServerPool} from './server_pool.js';
import {
  type LocalServer,
  type OwnedSlices,
  type PolicyFactory,
  PUSHING,
  type RegistryKeeper,
  type RegistryOptions,
  type ServerHeartbeat,
  type ServerPoolFactory,
} from './server_types.js';

/** Silence after which a server that announced itself is taken for lost. */
export const SERVER_SILENCE_MS = 3_000;
/** Silence after which it is taken for lost if it leaves grants unanswered as well. */
const SHORT_SILENCE_MS = 1_500;
const UNANSWERED_LIMIT_MS = 1_000;
const CHECK_INTERVAL_MS = 100;
/**
 * Longest time for which the answer to a heartbeat waits for news, in milliseconds: half of the second after
 * which servers take an answer for lost.
 */
const MAX_ANSWER_WAIT_MS = 500;
/**
 * Time before the end of a server's grant by which it must be renewed, in milliseconds: a heartbeat that is
 * late by as much loses no keys.
 */
const RENEWAL_MARGIN_MS = 600;

interface Entry extends LocalServer {
  readonly lastSeenMs: number;
  /** When the server first said that it leaves; undefined while it stays. */
  readonly leavingSinceMs: number | undefined;
}

/** Keeps the servers of this host. */
export class ServerRegistry {
  private readonly entries = new Map<ServiceName, Entry>();
  private readonly books = new Map<ServiceName, GrantBook>();
  /** Services whose lost server may still hold a grant, so that another gets none yet. */
  private readonly heldBack = new Set<ServiceName>();
  /** The last server of each service, by which a life is known again. */
  private readonly lastInfos = new Map<ServiceName, ServerInfo>();
  /** Servers whose life has not been compared yet, because the store has not been read. */
  private readonly unjudged = new Set<ServiceName>();
  /** From when on no earlier run of this daemon can answer a server of this host. */
  private startedAt: Instant;
  private hasDroppedEarlier = false;
  private readonly lastHeartbeats = new Map<ServiceName, ServerHeartbeat>();
  private readonly leaves: ServerLeaves;
  /** Rows that the last answer to each service's server had no room for. */
  private readonly leftOutRows = new Map<ServiceName, number>();
  private readonly answerWait: HeartbeatWait;
  private drainingSinceMs: number | undefined;
  private isRevoking = false;
  private isStopped = false;

  constructor(
    private readonly system: System,
    private readonly keeper: RegistryKeeper,
    private readonly createPolicy: PolicyFactory,
    private readonly owned: OwnedSlices,
    /** Returns the rules of a service; undefined when none are in force. */
    readonly getRules: (service: ServiceName) => ServiceRules | undefined,
    private readonly log: Log,
    private readonly createPool: ServerPoolFactory = createServerPool,
    private readonly options: RegistryOptions = PUSHING,
  ) {
    this.startedAt = system.getNow();
    this.answerWait = new HeartbeatWait(system);
    this.leaves = new ServerLeaves(system, () => keeper.getEarlierServers());
  }

  /** Takes an announcement: a new server, or a sign of life of a known one. */
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
      this.endLostServer(announced.service, 'another one took its place');
    this.entries.set(announced.service, {
      info: announced,
      lastSeenMs,
      leavingSinceMs: this.findLeavingSince(announced, lastSeenMs),
      pool: this.createPool(announced),
      policy: this.createPolicy(announced.service, announced.slots),
      instanceId,
    });
    this.log.writeInfo('A backend server announced itself.', {
      service: announced.service,
      life: announced.life ?? '',
      isLeaving: announced.isLeaving,
    });
    this.unjudged.add(announced.service);
    this.judgeLives();
    this.sendGrants();
  }

  /**
   * Answers the heartbeat of a server with its grant; undefined when nothing can be granted, which
   * renews nothing and takes nothing away.
   */
  answerReport(
    service: ServiceName,
    report: HoldReport | undefined,
    waitedMs: number,
  ): HoldGrant | undefined {
    if (report === undefined) return undefined;
    const entry = this.entries.get(service);
    const book = this.getBook(service);
    if (entry === undefined || !(book instanceof AnsweredGrants))
      return undefined;
    // What a life holds says nothing of the grants that an earlier one was given.
    if (this.isHeldBack(service)) return undefined;
    const mayGrant =
      !this.unjudged.has(service) &&
      this.isChecking(service) &&
      this.owned.mayGrant(service);
    const voidToken = entry.info.voidToken ?? 0;
    const grant = book.answerReport(report, mayGrant, voidToken, waitedMs);
    if (grant !== undefined) {
      this.writeLeftOut(service, book.getLeftOutRows(), grant.keys.length);
      this.writeChange(service, report, grant);
    }
    return grant;
  }

  /** Writes a line when an answer changes what the server holds. */
  private writeChange(
    service: ServiceName,
    {held}: HoldReport,
    {keys, holdMs}: HoldGrant,
  ): void {
    const added = keys.filter(row => !isWithin(row, held)).length;
    const leftOut = held.filter(row => !isWithin(row, keys)).length;
    if (added === 0 && leftOut === 0) return;
    const generation = this.owned.getAssignment(service)?.generation ?? 0;
    this.log.writeInfo('An answer changes what the server holds.', {
      service,
      life: this.entries.get(service)?.info.life ?? '',
      generation,
      added,
      leftOut,
      holdMs,
    });
  }

  /** Writes a warning when more keys than before are not granted for want of room. */
  private writeLeftOut(
    service: ServiceName,
    leftOutRows: number,
    rows: number,
  ): void {
    const before = this.leftOutRows.get(service) ?? 0;
    this.leftOutRows.set(service, leftOutRows);
    if (leftOutRows <= before) return;
    this.log.writeWarning(
      'Keys are not granted, for the answer has no room for more rows.',
      {service, rows, leftOutRows},
    );
  }

  /** Tells whether grants of a service travel in the answers to heartbeats. */
  isAnswering(service: ServiceName): boolean {
    return this.options.isAnswering && this.mayCheck(service);
  }

  /**
   * Asks for slices to be let go at the server's next heartbeat; returns those that no server of this
   * host can start a request of any more.
   */
  releaseSlices(
    service: ServiceName,
    refs: readonly SliceRef[],
    stopAdmission: AdmissionStop,
  ): readonly SliceRef[] {
    const book = this.getBook(service);
    if (!(book instanceof AnsweredGrants)) return [];
    book.askRelease(refs, stopAdmission);
    this.answerWait.wake();
    return book.findReleased(refs);
  }

  /** Gives a server that is new here the token below which its slices were given to an earlier life. */
  private judgeLives(): void {
    if (!this.keeper.isJoined()) return;
    for (const service of this.unjudged) {
      const entry = this.entries.get(service);
      if (entry !== undefined)
        this.entries.set(service, this.judgeEntry(entry));
    }
    const isChanged = this.unjudged.size > 0;
    this.unjudged.clear();
    if (isChanged) this.publishServers();
  }

  private judgeEntry(entry: Entry): Entry {
    const info = this.judgeLife(entry.info);
    const nowMs = this.system.getNow().monotonicMs;
    const leavingSinceMs =
      entry.leavingSinceMs ?? this.findLeavingSince(info, nowMs);
    return {...entry, info, leavingSinceMs};
  }

  private judgeLife(info: ServerInfo): ServerInfo {
    const last = this.findLastInfo(info.service);
    if (last !== undefined && isSameLife(last, info))
      return keepLeave(keepVoidToken(info, last), last);
    // The run before this process may have granted keys to another life, of which nothing is heard here.
    if (this.keeper.hasFollowed()) this.heldBack.add(info.service);
    if (info.life === undefined) return info;
    const voidToken = this.owned.getAssignment(info.service)?.generation ?? 0;
    this.log.writeInfo(
      'The server has begun a new life; its slices get new tokens.',
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
    const earlier = this.keeper
      .getEarlierServers()
      .find(info => info.service === service);
    return this.lastInfos.get(service) ?? earlier;
  }

  /**
   * A server that leaves when it is first heard here may have had its leave acknowledged by an earlier
   * run of this daemon, at a time that is not known.
   */
  private findLeavingSince(
    info: ServerInfo,
    nowMs: number,
  ): number | undefined {
    if (!info.isLeaving) return undefined;
    return this.options.isAnswering ? -Infinity : nowMs;
  }

  /**
   * Takes a heartbeat that was received some milliseconds ago. Returns the grant that answers it, undefined
   * when there is none to give, and `stale` for one that an earlier life sent, or that a later one of the
   * same life has overtaken.
   */
  receiveHeartbeat(
    heartbeat: ServerHeartbeat,
    waitedMs = 0,
  ): HoldGrant | 'stale' | undefined {
    const {info, instanceId, report} = heartbeat;
    const last = this.lastHeartbeats.get(info.service);
    const isSilent = !this.entries.has(info.service);
    if (last !== undefined && isOvertaken(heartbeat, last, isSilent))
      return 'stale';
    this.lastHeartbeats.set(info.service, heartbeat);
    const isLeaving = info.isLeaving || this.leaves.hasLeft(heartbeat);
    this.receiveAnnouncement({...info, isLeaving}, instanceId);
    return this.answerReport(info.service, report, waitedMs);
  }

  /**
   * Waits a moment with the answer to a heartbeat, so that it brings what changes meanwhile. Returns how
   * long it waited, in milliseconds.
   */
  async waitForNews({info, report}: ServerHeartbeat): Promise<number> {
    if (report === undefined) return 0;
    const {service} = info;
    const book = this.getBook(service);
    // What the server has let go is awaited by the keys' next owner.
    const isUrgent = info.isLeaving || report.freed.length > 0;
    const isKnown = this.entries.get(service)?.info.life === info.life;
    const mayWait = this.isChecking(service) && isKnown && !isUrgent;
    if (!mayWait || !(book instanceof AnsweredGrants)) return 0;
    const nowMs = this.system.getNow().monotonicMs;
    const leftMs = book.getAcknowledgedEnd().monotonicMs - nowMs;
    // A server without a grant loses nothing while it waits for one.
    const renewalMs = leftMs > 0 ? leftMs - RENEWAL_MARGIN_MS : Infinity;
    const limitMs = Math.min(MAX_ANSWER_WAIT_MS, renewalMs);
    if (limitMs <= 0) return 0;
    const voidToken = this.entries.get(service)?.info.voidToken ?? 0;
    const news = {
      hasNews: () => book.hasNews(report, voidToken),
      // The next owner of keys that are let go waits for the server's word.
      isMoreComing: () =>
        !book.isReleasing() && this.owned.isExpecting(service),
    };
    return this.answerWait.waitForNews(news, limitMs);
  }

  /**
   * Takes note that a server leaves which named itself; it may serve for a while yet. One that has not been
   * heard here is known by its first heartbeat.
   */
  receiveLeave(instanceId: string): void {
    const last = [...this.lastHeartbeats.values()].find(
      heartbeat => heartbeat.instanceId === instanceId,
    );
    this.log.writeInfo('A backend server has said that it ends.', {
      instance: instanceId,
      service: last?.info.service ?? '',
      life: last?.info.life ?? '',
    });
    if (last === undefined) {
      this.leaves.keepUnheard(instanceId);
      return;
    }
    this.leaves.keepHeard(last);
    this.removeServer(last.info.service);
  }

  /** Tells whether a server of this host is to go on when this daemon starts again. */
  hasStayingServer(): boolean {
    const heard = [...this.entries.values()].map(({info}) => info);
    const known =
      heard.length > 0 || this.hasDroppedEarlier
        ? heard
        : this.keeper.getEarlierServers();
    return known.some(({isLeaving}) => !isLeaving);
  }

  /** Takes note that a server takes no new work. */
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

  /** Takes note that a server is gone, by its own word: it runs nothing any more. */
  removeServer(service: ServiceName): void {
    if (this.options.isAnswering) {
      // It may serve for a while yet; its silence ends it here.
      this.startLeaving(service);
      return;
    }
    const isKnown = this.entries.has(service) && !this.unjudged.has(service);
    this.removeEntry(service, 'it left');
    // Another server, lost or of the run before this process, may still hold a grant.
    if (isKnown && !this.isHeldBack(service))
      this.getBook(service).endProvedGone();
    this.publishServers();
  }

  /** Takes note of whether operators drain this host. */
  setDraining(isDraining: boolean): void {
    this.drainingSinceMs = isDraining
      ? (this.drainingSinceMs ?? this.system.getNow().monotonicMs)
      : undefined;
  }

  /** Returns how long the last grant of a service is in force from now, in milliseconds. */
  getGrantLeftMs(service: ServiceName): number {
    const nowMs = this.system.getNow().monotonicMs;
    return Math.max(0, this.getBook(service).getLatestEndMs() - nowMs);
  }

  /** Tells whether a server may still be given work: it stays, or began to leave a moment ago. */
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
    if (!this.isChecking(service)) return true;
    return this.getBook(service).isGranted(slice);
  }

  /** Returns until when a server may start a request that it is sent now. */
  getGrantEnd(service: ServiceName, slice: Slice | undefined): Instant {
    return slice !== undefined && this.isChecking(service)
      ? this.getBook(service).getAcknowledgedEnd()
      : this.keeper.getEnd();
  }

  /**
   * Makes sure that no server of this host can start a request of a slice that was released: the
   * server has acknowledged a grant without it, or every grant has lapsed.
   */
  async tryRevoke(service: ServiceName): Promise<boolean> {
    const sender = this.getBook(service);
    if (sender.hasLapsed()) return true;
    // Grants by earlier rules end; servers that check nothing are sent none.
    if (!this.mayCheck(service)) return false;
    const entry = this.entries.get(service);
    if (entry === undefined || !this.isBound(service)) return false;
    return sender.tryConfirm(entry.pool);
  }

  /** Waits until no server of this host can start a request by a grant that it was sent. */
  async endGrants(): Promise<void> {
    this.isRevoking = true;
    for (const [service, sender] of this.books) {
      if (await this.tryRevoke(service)) continue;
      while (!sender.hasLapsed()) await waitFor(this.system, CHECK_INTERVAL_MS);
    }
    // A service that was not heard of here has no book; an earlier run may have granted its keys.
    while (this.getAgeMs() < LEASE_DURATION_MS)
      await waitFor(this.system, CHECK_INTERVAL_MS);
  }

  /** Sends every server its slices and the end of the lease. */
  sendGrants(): void {
    this.answerWait.wake();
    if (this.isRevoking) return;
    for (const [service, entry] of this.entries) {
      if (this.isChecking(service) && this.isBound(service))
        void this.getBook(service).send(entry.pool);
    }
  }

  /**
   * Looks for lost servers until it is stopped. The listeners of this daemon are bound by now, so that a run
   * before this process cannot grant any more; it may have done so since this object was made.
   */
  start(): void {
    this.startedAt = this.system.getNow();
    this.books.clear();
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
      [...this.entries.values()].map(entry => entry.pool.destroy()),
    );
  }

  private checkServers(): void {
    this.judgeLives();
    this.dropEarlierServers();
    for (const [service, entry] of this.entries) {
      if (this.isSilent(entry)) {
        this.endLostServer(service, 'it is silent');
        this.publishServers();
      } else if (!this.isAccepting(service)) {
        entry.policy.refuseAll('DD3024');
      }
    }
  }

  private isSilent(entry: Entry): boolean {
    const silenceMs = this.system.getNow().monotonicMs - entry.lastSeenMs;
    if (silenceMs > SERVER_SILENCE_MS) return true;
    const unansweredMs = this.getBook(entry.info.service).getUnansweredMs();
    return silenceMs > SHORT_SILENCE_MS && unansweredMs > UNANSWERED_LIMIT_MS;
  }

  /** Lets go of a server that may still run what it was sent until its grants lapse. */
  private endLostServer(service: ServiceName, reason: string): void {
    this.heldBack.add(service);
    this.removeEntry(service, reason);
  }

  private removeEntry(service: ServiceName, reason: string): void {
    const entry = this.entries.get(service);
    if (entry === undefined) return;
    this.log.writeWarning('A backend server is gone.', {service, reason});
    this.entries.delete(service);
    const isCompared = !this.unjudged.delete(service);
    if (isCompared) this.lastInfos.set(service, entry.info);
    this.getBook(service).reset();
    entry.policy.refuseAll('DD3024');
    if (this.options.isAnswering) void this.endPool(entry.pool);
    else void entry.pool.destroy();
  }

  /** Lets what runs on a silent server end; a server whose heartbeats are late may still answer. */
  private async endPool(pool: Dispatcher): Promise<void> {
    await pool.close();
  }

  /** Publishes the servers whose lives are known; those of an earlier run stand until they are heard. */
  private publishServers(): void {
    if (!this.keeper.isJoined()) return;
    const judged = [...this.entries.values()]
      .map(entry => entry.info)
      .filter(info => !this.unjudged.has(info.service));
    this.keeper.setServers(judged);
  }

  /** Takes servers of the earlier run out of the session that have not been heard since the start. */
  private dropEarlierServers(): void {
    const isDue =
      !this.hasDroppedEarlier &&
      this.keeper.isJoined() &&
      this.getAgeMs() > SERVER_SILENCE_MS;
    if (!isDue || this.keeper.getEarlierServers().length === 0) return;
    this.hasDroppedEarlier = true;
    this.publishServers();
  }

  /** Returns for how long this process has run, in milliseconds. */
  private getAgeMs(): number {
    return this.system.getNow().monotonicMs - this.startedAt.monotonicMs;
  }

  private isChecking(service: ServiceName): boolean {
    return this.getRules(service)?.fencing === 'checked';
  }

  /** Tells whether servers may hold grants; they may while no rules say otherwise. */
  private mayCheck(service: ServiceName): boolean {
    return this.getRules(service)?.fencing !== 'none';
  }

  private isHeldBack(service: ServiceName): boolean {
    if (this.heldBack.has(service) && this.getBook(service).hasLapsed())
      this.heldBack.delete(service);
    return this.heldBack.has(service);
  }

  /** Tells whether the server that is heard is the only one of its service that may hold a grant. */
  private isBound(service: ServiceName): boolean {
    return !this.unjudged.has(service) && !this.isHeldBack(service);
  }

  private getBook(service: ServiceName): GrantBook {
    const present = this.books.get(service);
    if (present !== undefined) return present;
    const book = this.createBook(service);
    this.books.set(service, book);
    return book;
  }

  private createBook(service: ServiceName): GrantBook {
    const source: GrantSource = {
      getAssignment: () => this.owned.getAssignment(service),
      getSlices: () => this.owned.getHeldSlices(service),
      getLeaseEnd: () => this.keeper.getEnd(),
    };
    const onRefused = () => {
      if (!this.entries.has(service)) return;
      this.endLostServer(service, 'it refuses connections');
      this.publishServers();
    };
    const {system, log, options, startedAt} = this;
    // The run before this process may have granted until the end of its lease.
    const earlierEnd = {
      monotonicMs: startedAt.monotonicMs + LEASE_DURATION_MS,
      wallMs: startedAt.wallMs + LEASE_DURATION_MS,
    };
    return options.isAnswering
      ? new AnsweredGrants(system, source, options, earlierEnd.monotonicMs)
      : new GrantSender(service, system, source, onRefused, log, earlierEnd);
  }
}

/** A life that has left does not stay again; a server that names no life may be another one. */
function keepLeave(info: ServerInfo, last: ServerInfo): ServerInfo {
  const hasLeft = info.life !== undefined && last.isLeaving;
  return hasLeft ? {...info, isLeaving: true} : info;
}

/** Servers that do not name their lives are known by their addresses. */
function isSameLife(a: ServerInfo, b: ServerInfo): boolean {
  return a.life === undefined ? isSameServer(a, b) : a.life === b.life;
}

function isSameServer(a: ServerInfo, b: ServerInfo): boolean {
  const isSameAddress =
    a.address.ip === b.address.ip && a.address.port === b.address.port;
  return isSameAddress && a.life === b.life;
}

/**
 * Tells whether a heartbeat comes after a later one. The time of day orders lives as long as the last one is
 * heard; it may have stepped back before the next one began.
 */
function isOvertaken(
  next: ServerHeartbeat,
  last: ServerHeartbeat,
  isLastSilent: boolean,
): boolean {
  return next.info.life === last.info.life
    ? next.sequence <= last.sequence
    : next.bornAtMs < last.bornAtMs && !isLastSilent;
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
