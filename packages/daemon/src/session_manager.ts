/**
 * Maintains this daemon's session in the store and its lease with its witnesses. The state machine
 * in `session_writer.ts` decides what to write and how to interpret answers; this class performs
 * the effects.
 *
 * After the store was restored from a backup, the session is written again, once the witnesses have renewed the lease
 * since then; until then the lease goes on by the witnesses as before. The writes of a fleet are spread over a short time
 * that grows with the number of its members.
 */
import * as E from 'fp-ts/lib/Either.js';

import type {Log} from '@dottereldrift/core/log.js';
import {formatMember, isSameMember} from '@dottereldrift/core/member.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {Incarnation, Instant, Member} from '@dottereldrift/core/types.js';
import {FleetSettling} from '@dottereldrift/membership/fleet_settling.js';
import {
  DRIFT_MARGIN_MS,
  HEARTBEAT_INTERVAL_MS,
  LEASE_DURATION_MS,
  SMALL_WITNESS_SET_SIZE,
} from '@dottereldrift/membership/constants.js';
import {
  applyAnswer,
  createLeaseState,
  dropUnreliableAnswers,
  findUnreliableAnswer,
  getLeaseEnd,
  getWitnesses,
  hasFenced,
  isPermanentlyFenced,
  isLeaseHeld,
  isElapsedTimeKnown,
  type LeaseState,
  setWitnessSets,
} from '@dottereldrift/membership/lease_holder.js';
import {
  encodeSession,
  getSessionKey,
} from '@dottereldrift/membership/session_record.js';
import {
  applyWriterEvent,
  createWriterState,
  getActiveSets,
  isConfirmed,
  type SessionWrite,
  type WriteAnswer,
  type WriterEffect,
  type WriterEvent,
  type SessionWriterState,
} from '@dottereldrift/membership/session_writer.js';
import type {
  ServerInfo,
  Session,
  VersionedSession,
} from '@dottereldrift/membership/types.js';
import type {ReplacedProcesses} from '@dottereldrift/membership/witness.js';
import {
  chooseWitnesses,
  isSameSet,
} from '@dottereldrift/membership/witness_choice.js';
import type {
  ObjectStore,
  ObjectVersion,
  StoreFailure,
} from '@dottereldrift/store/types.js';
import {
  formatVersion,
  getEra,
  getExpectedVersion,
  getOrigin,
} from '@dottereldrift/store/version.js';

import type {DatagramChannel} from './datagram_channel.js';
import type {StoreView} from './store_view.js';

const CHECK_INTERVAL_MS = 250;
/** Time for which a heartbeat renews the lease at its holder. */
const LEASE_USABLE_MS = LEASE_DURATION_MS - DRIFT_MARGIN_MS;
const WRITE_RETRY_DELAY_MS = 300;
const WITNESS_SET_SETTLE_MS = 1_000;
const WITNESS_SET_POLL_MS = 5;
/** Minimum change of the lease end for which listeners are notified. */
const MIN_RENEWAL_STEP_MS = HEARTBEAT_INTERVAL_MS / 2;
/**
 * Maximum number of previous incarnations in a session; a daemon rarely restarts more often within
 * a lease.
 */
const MAX_FOLLOWED_INCARNATIONS = 8;
/** Maximum number of heartbeats whose send times are kept; more than are sent within one lease. */
const MAX_TRACKED_SEQUENCES = 64;
/** Minimum time between two rounds of heartbeats triggered by a clock mismatch, in milliseconds. */
const CLOCK_MISMATCH_INTERVAL_MS = 100;
/** Time per member over which a fleet spreads the writes of its sessions after the store was restored. */
const REWRITE_SPREAD_PER_MEMBER_MS = 5;

/** Attributes of this host in the session, apart from its witnesses and servers. */
export type SessionIdentity = Pick<
  Session,
  'dataCentre' | 'region' | 'peerAddress' | 'callerPort'
> & {readonly host: string};

/** Ends the session of a previous incarnation on this host before a new one starts. */
export interface SessionEnder {
  /** Ends the session permanently; resolves to false if this is not possible yet. */
  tryEnd(session: Session, version: number): Promise<boolean>;
}

/** The witnesses that a member wants, with the inputs that they were derived from. */
interface WitnessChoice {
  readonly live: readonly Session[];
  readonly present: readonly Member[];
  readonly fencedBy: LeaseState['fencedBy'];
  readonly member: Member;
  readonly candidates: readonly Session[];
  readonly wanted: readonly Member[];
}

const NO_WITNESSES: readonly Member[] = [];

/** Maintains the session and the lease. */
export class SessionManager {
  private member: Member;
  private lease: LeaseState;
  private writer: SessionWriterState;
  private servers: readonly ServerInfo[] = [];
  private isLeaving = false;
  private isWriting = false;
  private isEnding = false;
  private notifiedEnd: Instant = {monotonicMs: -Infinity, wallMs: -Infinity};
  private sequence = 0;
  private readonly sentAt = new Map<number, Instant>();
  private lastSentAt: Instant | undefined;
  private isStopped = false;
  private lastSetChangeMs = -Infinity;
  private readonly settling = new FleetSettling();
  private lastChoice: WitnessChoice | undefined;
  private lastClockMismatchMs = -Infinity;
  /** Previous incarnations on this host whose grants may still be in force, newest first. */
  private follows: readonly Incarnation[] = [];
  private previousServers: readonly ServerInfo[] = [];
  private isSessionAdopted = false;
  private replaced: ReplacedProcesses | undefined;
  private isFirstMember = true;
  /** Version of this process's first session that came into force. */
  private joinedVersion = Infinity;
  /** Whether this member has ever held its lease, so that its grants may be in force. */
  private hasHeldLease = false;
  /** When `run` was called; undefined before that. */
  private startedAt: Instant | undefined;
  /** The write that is due because the store was restored: when that was seen, and the time from which it is made. */
  private rewrite = {
    sinceMs: -Infinity,
    seenMs: -Infinity,
    dueMs: -Infinity,
    isLogged: false,
  };
  private readonly rejoinListeners: Array<() => void> = [];
  private readonly renewalListeners: Array<() => void> = [];

  constructor(
    private readonly identity: SessionIdentity,
    private readonly system: System,
    private readonly store: ObjectStore,
    private readonly view: StoreView,
    private readonly channel: DatagramChannel,
    private readonly previousSessionEnder: SessionEnder,
    private readonly log: Log,
  ) {
    this.member = {host: identity.host, incarnation: system.createId()};
    this.lease = createLeaseState(this.member, [this.member]);
    this.writer = createWriterState(this.member);
  }

  /**
   * Returns the current incarnation of this daemon; it changes when the daemon is fenced or its
   * session is ended.
   */
  getMember(): Member {
    return this.member;
  }

  /** Tells whether requests may be run now. */
  isHeld(): boolean {
    const now = this.checkClocks();
    return (
      this.getSession() !== undefined &&
      !this.isEnding &&
      isLeaseHeld(this.lease, now)
    );
  }

  /** Returns the time at which the lease ends unless it is renewed. */
  getEnd(): Instant {
    this.checkClocks();
    return getLeaseEnd(this.lease);
  }

  getSession(): Session | undefined {
    return this.writer.inForce?.session;
  }

  /**
   * Tells whether this daemon's first session has come into force and all older objects have been
   * read, so that the servers and tokens of the previous daemon process are known.
   */
  isJoined(): boolean {
    return this.view.isComplete(this.joinedVersion);
  }

  /** Returns the earlier processes that this one has replaced; undefined until one is known. */
  getReplaced(): ReplacedProcesses | undefined {
    return this.replaced;
  }

  /** Returns the servers listed in the session of the previous daemon process. */
  getPreviousServers(): readonly ServerInfo[] {
    return this.previousServers;
  }

  /**
   * Tells whether this process adopted the slices of a previous daemon process, which may have
   * granted them to a server.
   */
  hasAdoptedSession(): boolean {
    return this.isSessionAdopted;
  }

  /** Calls the listener after this daemon has become a new member. */
  addRejoinListener(listener: () => void): void {
    this.rejoinListeners.push(listener);
  }

  /** Calls the listener after the lease was renewed. */
  addRenewalListener(listener: () => void): void {
    this.renewalListeners.push(listener);
  }

  /** Sets the servers listed in the session. */
  setServers(servers: readonly ServerInfo[]): void {
    this.servers = servers;
    void this.writeIfNeeded();
  }

  /** Marks the session as leaving: it is assigned no new slices, and its present ones are moved. */
  startLeaving(): void {
    this.isLeaving = true;
    void this.writeIfNeeded();
  }

  /** Tells whether the session is marked as leaving. */
  hasStartedLeaving(): boolean {
    return this.isLeaving;
  }

  /** Writes the session and sends heartbeats until `stop` is called. */
  async run(): Promise<void> {
    this.startedAt = this.system.getNow();
    this.startHeartbeats();
    while (!this.isStopped) {
      await this.writeIfNeeded();
      await waitFor(this.system, CHECK_INTERVAL_MS);
    }
  }

  /**
   * Stops sending heartbeats and ends the session in the store. A daemon that will restart while
   * its server keeps running leaves the session in place, so that the next daemon process adopts
   * its slices.
   */
  async stop(isRestarting = false): Promise<void> {
    this.isStopped = true;
    if (isRestarting) return;
    while (this.isWriting) await waitFor(this.system, CHECK_INTERVAL_MS / 10);
    const {inForce} = this.writer;
    if (inForce === undefined) return;
    this.isEnding = true;
    const expectedVersion = getExpectedVersion(inForce);
    const written = await this.writeEnd(inForce.session, expectedVersion);
    if (E.isLeft(written) && isOfOtherEra(written.left, expectedVersion))
      await this.writeEndAgain(inForce);
  }

  private writeEnd(session: Session, expectedVersion: ObjectVersion) {
    const ended = {...session, isEnded: true, servers: []};
    const key = getSessionKey(this.identity.host);
    return this.store.updateObject(
      key,
      expectedVersion,
      encodeSession(ended),
    )();
  }

  /** Ends the session at the version that it has in a store that was restored, unless it is over there. */
  private async writeEndAgain(inForce: VersionedSession): Promise<void> {
    const key = getSessionKey(this.identity.host);
    const read = await this.store.getObject(key)();
    if (E.isLeft(read)) return;
    if (read.right !== undefined) this.view.applyObject(read.right);
    const known = this.view.getSession(this.identity.host) ?? inForce;
    const isOver =
      known.session.isEnded || !isSameMember(known.session.member, this.member);
    if (!isOver)
      await this.writeEnd(known.session, getExpectedVersion(read.right));
  }

  /**
   * Applies a witness's answer to a heartbeat; answers for a previous incarnation of this daemon
   * are ignored.
   */
  receiveAnswer(
    target: Member,
    witness: Member,
    sequence: number,
    isFenced: boolean,
  ): void {
    const sentAt = this.sentAt.get(sequence);
    if (sentAt === undefined || !isSameMember(target, this.member)) return;
    this.lease = applyAnswer(this.lease, witness, sentAt, isFenced);
    this.hasHeldLease ||= this.isHeld();
    if (isPermanentlyFenced(this.lease))
      this.joinAsNewMember('it was fenced by its witnesses');
    else this.notifyRenewal();
  }

  /**
   * Returns the current time. Ends the lease if the monotonic and wall clocks have diverged since
   * it was renewed, and sends heartbeats at once, which renew it within a round trip.
   */
  private checkClocks(): Instant {
    const now = this.system.getNow();
    if (this.findClockMismatch(now) === undefined) return now;
    // A pause of the process between reading the two clocks shows a mismatch only once.
    const secondReading = this.system.getNow();
    const sentAt = this.findClockMismatch(secondReading);
    if (sentAt !== undefined)
      this.endLeaseOnClockMismatch(sentAt, secondReading);
    return secondReading;
  }

  /**
   * Returns the send time of a heartbeat since which the clocks have diverged. Only the last
   * heartbeat without an answer needs checking: the ones before it were checked when it was sent.
   */
  private findClockMismatch(now: Instant): Instant | undefined {
    const {lastSentAt} = this;
    return lastSentAt === undefined || isElapsedTimeKnown(lastSentAt, now)
      ? findUnreliableAnswer(this.lease, now)
      : lastSentAt;
  }

  private endLeaseOnClockMismatch(sentAt: Instant, now: Instant): void {
    this.lease = dropUnreliableAnswers(this.lease, now);
    for (const [sequence, at] of this.sentAt)
      if (!isElapsedTimeKnown(at, now)) this.sentAt.delete(sequence);
    const {lastSentAt} = this;
    if (lastSentAt !== undefined && !isElapsedTimeKnown(lastSentAt, now))
      this.lastSentAt = undefined;
    this.notifiedEnd = {monotonicMs: -Infinity, wallMs: -Infinity};
    if (now.monotonicMs - this.lastClockMismatchMs < CLOCK_MISMATCH_INTERVAL_MS)
      return;
    this.lastClockMismatchMs = now.monotonicMs;
    this.log.writeWarning(
      'The monotonic and wall clocks have diverged; the lease must be renewed.',
      {
        member: formatMember(this.member),
        heartbeat: this.sequence,
        monotonicMs: Math.round(now.monotonicMs - sentAt.monotonicMs),
        wallMs: Math.round(now.wallMs - sentAt.wallMs),
        isHeld: isLeaseHeld(this.lease, now),
      },
    );
    if (!this.isStopped) this.sendHeartbeats();
  }

  private notifyRenewal(): void {
    const end = this.getEnd();
    const isEarly =
      end.monotonicMs - this.notifiedEnd.monotonicMs < MIN_RENEWAL_STEP_MS &&
      end.wallMs - this.notifiedEnd.wallMs < MIN_RENEWAL_STEP_MS;
    if (isEarly) return;
    this.notifiedEnd = end;
    for (const listener of this.renewalListeners) listener();
  }

  private startHeartbeats(): void {
    const sendAndReschedule = () => {
      if (this.isStopped) return;
      this.sendHeartbeats();
      this.system.startTimer(HEARTBEAT_INTERVAL_MS, sendAndReschedule);
    };
    sendAndReschedule();
  }

  private sendHeartbeats(): void {
    const now = this.checkClocks();
    this.sequence += 1;
    this.sentAt.set(this.sequence, now);
    this.lastSentAt = now;
    this.sentAt.delete(this.sequence - MAX_TRACKED_SEQUENCES);
    for (const witness of getWitnesses(this.lease)) {
      const address = isSameMember(witness, this.member)
        ? this.identity.peerAddress
        : this.view.getSession(witness.host)?.session.peerAddress;
      if (address === undefined) continue;
      this.channel.sendHeartbeat(address, {
        ...this.member,
        sequence: this.sequence,
        configuration: this.view.getManifest()?.generation ?? 0,
      });
    }
  }

  private async writeIfNeeded(): Promise<void> {
    if (this.isWriting || this.isStopped || !this.view.isLoaded()) return;
    this.isWriting = true;
    try {
      const found = this.view.getSession(this.identity.host);
      if (this.isAwaitingPreviousGrants(found)) return;
      await this.applyEraStep(found);
      this.joinIfNotRenewed();
      if (this.isRewriteDeferred()) return;
      this.adoptPreviousSession(found);
      const wanted = this.createSession(this.chooseWitnesses());
      await this.applyEvent({kind: 'check', wanted, found});
    } finally {
      this.isWriting = false;
    }
  }

  /**
   * Adopts the slices of the previous daemon process. It listened on the address that this process
   * has bound, so it has exited, and the server that holds its grants is still the one on this
   * host.
   */
  private adoptPreviousSession(found: VersionedSession | undefined): void {
    const isDue =
      this.isFirstMember &&
      this.writer.inForce === undefined &&
      this.writer.underWay === undefined;
    if (!isDue || found === undefined) return;
    const {member, peerAddress, follows = [], isEnded} = found.session;
    if (isSameMember(member, this.member)) return;
    const {ip, port} = this.identity.peerAddress;
    const isOwnHost = peerAddress.ip === ip && peerAddress.port === port;
    if (isOwnHost) this.recordReplaced([member.incarnation, ...follows]);
    if (isEnded) {
      // The session was ended while this process started, after its grants had expired.
      this.isSessionAdopted = false;
      return;
    }
    if (!isOwnHost) return;
    // A longer chain is ended the slow way, which waits until its grants have expired.
    if (follows.length >= MAX_FOLLOWED_INCARNATIONS) return;
    this.follows = [member.incarnation, ...follows];
    this.isSessionAdopted = true;
    // Keeps the server listed until its first heartbeat, so that other daemons do not consider it
    // lost.
    this.previousServers = found.session.servers;
    this.servers = found.session.servers;
  }

  /**
   * Returns whether the restored store may lack the session of the previous daemon process, whose grants may still be
   * in force. They expire within the time of a lease, because this process has bound its address.
   */
  private isAwaitingPreviousGrants(
    found: VersionedSession | undefined,
  ): boolean {
    if (this.writer.inForce !== undefined || !this.isFirstMember) return false;
    const isUncertain =
      found === undefined
        ? this.view.getEra() > 0
        : this.view.isUncertain(found);
    if (!isUncertain) return false;
    const startedMs = this.startedAt?.monotonicMs ?? Infinity;
    const nowMs = this.system.getNow().monotonicMs;
    return nowMs - startedMs < PREVIOUS_GRANTS_LAPSE_MS;
  }

  /** Takes on the version that the session has in a store that was restored. */
  private async applyEraStep(
    found: VersionedSession | undefined,
  ): Promise<void> {
    const {inForce} = this.writer;
    const isOfLaterEra =
      found !== undefined &&
      inForce !== undefined &&
      getEra(found.version) > getEra(inForce.version);
    if (isOfLaterEra) await this.applyEvent({kind: 'seen', found});
  }

  /** Records that the session must be written again if the store does not have it at the version just learned. */
  private recordRestored(before: VersionedSession | undefined): void {
    const {inForce} = this.writer;
    const isRestored =
      inForce !== undefined &&
      !isConfirmed(inForce) &&
      inForce.version !== before?.version;
    if (!isRestored) return;
    const nowMs = this.system.getNow().monotonicMs;
    const members = this.view.getLiveSessions().length;
    const spreadMs = REWRITE_SPREAD_PER_MEMBER_MS * members;
    const dueMs = nowMs + this.system.getRandom() * spreadMs;
    const isRepeated = before !== undefined && !isConfirmed(before);
    const sinceMs = isRepeated ? this.rewrite.sinceMs : nowMs;
    this.rewrite = {sinceMs, seenMs: nowMs, dueMs, isLogged: false};
    if (!this.isStopped) this.sendHeartbeats();
  }

  /** Returns whether the session is to be written again because the store was restored, but not yet. */
  private isRewriteDeferred(): boolean {
    const {inForce} = this.writer;
    if (inForce === undefined || isConfirmed(inForce)) return false;
    const isDue = this.system.getNow().monotonicMs >= this.rewrite.dueMs;
    return !isDue || !this.isRenewedSinceRestored();
  }

  /**
   * Returns whether a majority of every witness set has renewed the lease since the store was restored. The restored
   * store may lack the end of this member, whose witnesses have fenced it then. Before they have renewed its lease,
   * none of the sets may be replaced.
   */
  private isRenewedSinceRestored(): boolean {
    return this.getEnd().monotonicMs - LEASE_USABLE_MS >= this.rewrite.seenMs;
  }

  /** Joins again if the witnesses do not renew the lease after the store was restored. */
  private joinIfNotRenewed(): void {
    const {inForce} = this.writer;
    if (inForce === undefined || isConfirmed(inForce)) return;
    const nowMs = this.system.getNow().monotonicMs;
    const isLapsed = this.getEnd().monotonicMs <= nowMs;
    const isLate =
      isLapsed && nowMs >= this.rewrite.sinceMs + LEASE_DURATION_MS;
    if (isLate && !this.isRenewedSinceRestored())
      this.joinAsNewMember(
        'its lease was not renewed after the store was restored',
      );
  }

  /** Logs once per restoration that the session is written again. */
  private recordRewrite({expectedVersion}: SessionWrite): void {
    const {inForce} = this.writer;
    if (inForce === undefined || isConfirmed(inForce)) return;
    if (this.rewrite.isLogged) return;
    this.rewrite = {...this.rewrite, isLogged: true};
    this.log.writeWarning(
      'The store was restored; the session is written again.',
      {
        member: formatMember(this.member),
        era: getEra(inForce.version),
        before: getEra(getOrigin(inForce)),
        origin: formatVersion(getOrigin(inForce)),
        expectedVersion: formatVersion(expectedVersion),
      },
    );
  }

  private recordReplaced(incarnations: readonly Incarnation[]): void {
    const known = this.replaced?.incarnations ?? [];
    if (incarnations.every(incarnation => known.includes(incarnation))) return;
    this.replaced = {
      incarnations: [...new Set([...incarnations, ...known])],
      endedAt: this.system.getNow(),
    };
  }

  private chooseWitnesses(): readonly Member[] {
    const present = this.getSession();
    const nowMs = this.system.getNow().monotonicMs;
    if (
      present !== undefined &&
      this.hasHeldLease &&
      nowMs - this.lastSetChangeMs < WITNESS_SET_SETTLE_MS
    ) {
      return present.witnesses;
    }
    const live = this.view.getLiveSessions();
    const {wanted, candidates} = this.findWanted(
      live,
      present?.witnesses ?? NO_WITNESSES,
    );
    this.settling.observe(live, nowMs);
    const isDeferred =
      present !== undefined &&
      !isSameSet(wanted, present.witnesses) &&
      !this.settling.mayChange(present.witnesses, candidates, nowMs);
    return isDeferred ? present.witnesses : wanted;
  }

  /** Finds the witnesses that this member wants; derives them anew only if an input has changed. */
  private findWanted(
    live: readonly Session[],
    present: readonly Member[],
  ): WitnessChoice {
    const {fencedBy} = this.lease;
    const last = this.lastChoice;
    if (
      last?.live === live &&
      last.present === present &&
      last.fencedBy === fencedBy &&
      last.member === this.member
    )
      return last;
    const self = {...this.identity, member: this.member};
    const renewing = live.filter(({member}) => !hasFenced(this.lease, member));
    // With fewer other members, the set would depend on a single host.
    const hasOthers = renewing.length > SMALL_WITNESS_SET_SIZE;
    const candidates = hasOthers ? renewing : live;
    const wanted = chooseWitnesses(self, candidates, present);
    const {member} = this;
    this.lastChoice = {live, present, fencedBy, member, candidates, wanted};
    return this.lastChoice;
  }

  private async applyEvent(event: WriterEvent): Promise<void> {
    const isFirst = this.writer.inForce === undefined;
    const setsBefore = this.lease.witnessSets.length;
    const step = applyWriterEvent(this.writer, event);
    const {inForce: before} = this.writer;
    this.writer = step.state;
    this.applyWitnessSets(setsBefore);
    this.recordRestored(before);
    const {inForce} = step.state;
    if (isFirst && inForce !== undefined) {
      this.joinedVersion = Math.min(this.joinedVersion, inForce.version);
      this.log.writeInfo('The session is in force.', {
        member: formatMember(this.member),
      });
    }
    await this.runEffect(step.effect);
  }

  private applyWitnessSets(setsBefore: number): void {
    const sets = getActiveSets(this.writer);
    if (sets.length === 0) return;
    this.lease = setWitnessSets(this.lease, sets);
    if (sets.length > setsBefore) {
      this.lastSetChangeMs = this.system.getNow().monotonicMs;
    }
  }

  /**
   * Waits until a majority of the new witness set has renewed the lease, or every grant issued
   * before the new set counted has expired. If the set took effect earlier, it could fence this
   * member without ever having heard it, while a server still holds such a grant.
   */
  private async waitForNewWitnessSet(): Promise<void> {
    const endMs = this.lastSetChangeMs + LEASE_DURATION_MS;
    while (!this.isHeld() && this.system.getNow().monotonicMs < endMs)
      await waitFor(this.system, WITNESS_SET_POLL_MS);
  }

  private async runEffect(effect: WriterEffect): Promise<void> {
    switch (effect.kind) {
      case 'none':
        return;
      case 'write':
        this.sendHeartbeats();
        // Before the first lease, this member has issued no grant that a new set could be unaware
        // of. Grants of a previous incarnation expire before a witness that has just learnt of this
        // member considers it lost.
        if (this.writer.inForce !== undefined && this.hasHeldLease)
          await this.waitForNewWitnessSet();
        // This daemon may have become a new member meanwhile.
        if (this.writer.underWay !== effect.write) return;
        this.recordRewrite(effect.write);
        return this.writeSession(effect.write);
      case 'read':
        return this.readSession();
      case 'rejoin':
        this.joinAsNewMember('its session was ended in the store');
        return;
      case 'end-earlier':
        return this.endPreviousSession(effect.earlier);
    }
  }

  private async endPreviousSession(previous: VersionedSession): Promise<void> {
    const isOver = await this.previousSessionEnder.tryEnd(
      previous.session,
      getExpectedVersion(previous),
    );
    if (!isOver) await waitFor(this.system, WRITE_RETRY_DELAY_MS);
  }

  private createSession(witnesses: readonly Member[]): Session {
    const {dataCentre, region, peerAddress, callerPort} = this.identity;
    return {
      member: this.member,
      dataCentre,
      region,
      peerAddress,
      callerPort,
      witnesses,
      servers: this.servers,
      isEnded: false,
      isLeaving: this.isLeaving,
      ...(this.follows.length === 0 ? {} : {follows: this.follows}),
    };
  }

  private async writeSession(write: SessionWrite): Promise<void> {
    const key = getSessionKey(this.identity.host);
    const value = encodeSession(write.session);
    const written = await this.store.updateObject(
      key,
      write.expectedVersion,
      value,
    )();
    const answer = getWriteAnswer(written);
    await this.applyEvent({kind: 'answered', write, answer});
    if (E.isRight(written)) {
      const {witnesses, servers, isLeaving} = write.session;
      this.log.writeInfo('The session was written.', {
        version: written.right,
        expectedVersion: write.expectedVersion,
        witnesses: witnesses.map(formatMember).join(' '),
        servers: servers.map(formatServer).join(' '),
        isLeaving,
      });
      this.view.applyObject({key, version: written.right, value});
    } else if (written.left.kind !== 'conflict') {
      this.log.writeWarning('The session could not be written.', {
        reason: written.left.text,
      });
      await waitFor(this.system, WRITE_RETRY_DELAY_MS);
    }
  }

  private async readSession(): Promise<void> {
    const read = await this.store.getObject(
      getSessionKey(this.identity.host),
    )();
    if (E.isLeft(read) || read.right === undefined) return;
    this.view.applyObject(read.right);
    // After the store was restored, the view may know a session that was written later than the one read.
    const found = this.view.getSession(this.identity.host);
    if (found !== undefined) await this.applyEvent({kind: 'seen', found});
  }

  private joinAsNewMember(reason: string): void {
    this.log.writeWarning('This member has ended; the daemon joins again.', {
      member: formatMember(this.member),
      reason,
    });
    this.member = {
      host: this.identity.host,
      incarnation: this.system.createId(),
    };
    this.isFirstMember = false;
    this.hasHeldLease = false;
    this.follows = [];
    this.lease = createLeaseState(this.member, [this.member]);
    this.writer = createWriterState(this.member);
    this.notifiedEnd = {monotonicMs: -Infinity, wallMs: -Infinity};
    this.sentAt.clear();
    for (const listener of this.rejoinListeners) listener();
  }
}

/** Time after which the grants of a terminated incarnation on this host have expired. */
export const PREVIOUS_GRANTS_LAPSE_MS = LEASE_DURATION_MS;

function formatServer({service, life, voidToken = 0}: ServerInfo): string {
  return `${service}/${life ?? ''}/${voidToken}`;
}

/** Returns whether an update failed because the store has been restored since the expected version was read. */
function isOfOtherEra(
  {kind, foundVersion = 0}: StoreFailure,
  expectedVersion: ObjectVersion,
): boolean {
  const isFound = foundVersion > 0;
  return (
    kind === 'conflict' &&
    !(isFound && getEra(foundVersion) === getEra(expectedVersion))
  );
}

function getWriteAnswer(written: E.Either<StoreFailure, number>): WriteAnswer {
  if (E.isRight(written)) return {kind: 'written', version: written.right};
  const {kind} = written.left;
  if (kind === 'conflict' || kind === 'unknown') return {kind};
  return {kind: 'no-effect'};
}
