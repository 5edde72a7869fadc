/**
 * Keeps this daemon's session in the store and its lease with its witnesses. What is written and what
 * an answer means is decided by the state machine of `session_writer.ts`; this class carries it out.
 */
import * as E from 'fp-ts/lib/Either.js';

import type {Log} from '@dottereldrift/core/log.js';
import {formatMember, isSameMember} from '@dottereldrift/core/member.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {Incarnation, Instant, Member} from '@dottereldrift/core/types.js';
import {
  HEARTBEAT_INTERVAL_MS,
  LEASE_DURATION_MS,
  SMALL_WITNESS_SET_SIZE,
} from '@dottereldrift/membership/constants.js';
import {
  applyAnswer,
  createLeaseState,
  dropDoubtfulAnswers,
  findDoubtfulAnswer,
  getLeaseEnd,
  getWitnesses,
  hasFenced,
  isFencedForGood,
  isLeaseHeld,
  isTimeKnown,
  type LeaseState,
  setWitnessSets,
} from '@dottereldrift/membership/lease_holder.js';
import {
  encodeSession,
  getSessionKey,
  parseSession,
} from '@dottereldrift/membership/session_record.js';
import {
  applyWriterEvent,
  createWriterState,
  getActiveSets,
  type SessionWrite,
  type WriteAnswer,
  type WriterEffect,
  type WriterEvent,
  type WriterState,
} from '@dottereldrift/membership/session_writer.js';
import type {
  ServerInfo,
  Session,
  VersionedSession,
} from '@dottereldrift/membership/types.js';
import {chooseWitnesses} from '@dottereldrift/membership/witness_choice.js';
import type {ObjectStore, StoreFailure} from '@dottereldrift/store/types.js';

import type {DatagramChannel} from './datagram_channel.js';
import type {StoreView} from './store_view.js';

const CHECK_INTERVAL_MS = 250;
const WRITE_RETRY_DELAY_MS = 300;
const SETTLE_DELAY_MS = 1_000;
const SET_POLL_MS = 5;
/** Step by which the lease end must move before listeners are told. */
const RENEWAL_STEP_MS = HEARTBEAT_INTERVAL_MS / 2;
/** Earlier runs that a session names; a daemon that restarts more often within leases is rare. */
const MAX_FOLLOWED = 8;
/** Sequences whose send times are kept; more than are sent within one lease. */
const KEPT_SEQUENCES = 64;
/** Least time between two rounds of heartbeats that clocks which differ bring about, in milliseconds. */
const DOUBT_INTERVAL_MS = 100;

/** What the session says of this host, apart from its witnesses and servers. */
export type SessionIdentity = Pick<
  Session,
  'dataCentre' | 'region' | 'peerAddress' | 'callerPort'
> & {readonly host: string};

/** How an earlier incarnation on this host is brought to its end before a new one starts. */
export interface EarlierEnder {
  /** Ends the incarnation for good; false when it cannot be done yet. */
  tryEnd(session: Session, version: number): Promise<boolean>;
}

/** Keeps the session and the lease. */
export class SessionKeeper {
  private member: Member;
  private lease: LeaseState;
  private writer: WriterState;
  private servers: readonly ServerInfo[] = [];
  private isLeaving = false;
  private isWriting = false;
  private isEnding = false;
  private lastEnd: Instant = {monotonicMs: -Infinity, wallMs: -Infinity};
  private sequence = 0;
  private readonly sentAt = new Map<number, Instant>();
  private lastSentAt: Instant | undefined;
  private isStopped = false;
  private lastSetChangeMs = -Infinity;
  private lastDoubtMs = -Infinity;
  /** Earlier runs on this host whose grants may still be in force, newest first. */
  private follows: readonly Incarnation[] = [];
  private earlierServers: readonly ServerInfo[] = [];
  private hasFollowedRun = false;
  private isFirstMember = true;
  /** Version of the first session of this process that came into force. */
  private joinedVersion = Infinity;
  /** Whether this member has held its lease, so that grants of it may be in force. */
  private hasHeld = false;
  private readonly rejoinListeners: Array<() => void> = [];
  private readonly renewalListeners: Array<() => void> = [];

  constructor(
    private readonly identity: SessionIdentity,
    private readonly system: System,
    private readonly store: ObjectStore,
    private readonly view: StoreView,
    private readonly channel: DatagramChannel,
    private readonly ender: EarlierEnder,
    private readonly log: Log,
  ) {
    this.member = {host: identity.host, incarnation: system.createId()};
    this.lease = createLeaseState(this.member, [this.member]);
    this.writer = createWriterState(this.member);
  }

  /** Returns this run of the daemon; it changes after the present one was fenced. */
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

  /** Returns when the lease ends unless it is renewed. */
  getEnd(): Instant {
    this.checkClocks();
    return getLeaseEnd(this.lease);
  }

  getSession(): Session | undefined {
    return this.writer.inForce?.session;
  }

  /**
   * Tells whether this daemon's first session has come into force and all older objects are known, so that it
   * knows what ran here before and under which tokens.
   */
  isJoined(): boolean {
    return this.view.isComplete(this.joinedVersion);
  }

  /** Returns the servers of the run of this daemon before this process, as its session named them. */
  getEarlierServers(): readonly ServerInfo[] {
    return this.earlierServers;
  }

  /** Tells whether this process went on with the slices of a run of this daemon, which may have granted them. */
  hasFollowed(): boolean {
    return this.hasFollowedRun;
  }

  /** Calls back after this daemon has become another member. */
  addRejoinListener(listener: () => void): void {
    this.rejoinListeners.push(listener);
  }

  /** Calls back after the lease was renewed. */
  addRenewalListener(listener: () => void): void {
    this.renewalListeners.push(listener);
  }

  /** Changes the servers that the session names. */
  setServers(servers: readonly ServerInfo[]): void {
    this.servers = servers;
    void this.writeIfNeeded();
  }

  /** Marks the session as leaving: no new slices, and the present ones are moved. */
  startLeaving(): void {
    this.isLeaving = true;
    void this.writeIfNeeded();
  }

  /** Tells whether the session says that this host takes no new work. */
  isLeavingForGood(): boolean {
    return this.isLeaving;
  }

  /** Writes the session, then heartbeats until it is stopped. */
  async run(): Promise<void> {
    this.startHeartbeats();
    while (!this.isStopped) {
      await this.writeIfNeeded();
      await waitFor(this.system, CHECK_INTERVAL_MS);
    }
  }

  /**
   * Stops heartbeats, and ends the session in the store. A daemon that is about to start again beside
   * a server that stays leaves its session, so that its next run goes on with the same slices.
   */
  async stop(mayReturn = false): Promise<void> {
    this.isStopped = true;
    if (mayReturn) return;
    while (this.isWriting) await waitFor(this.system, CHECK_INTERVAL_MS / 10);
    const {inForce} = this.writer;
    if (inForce === undefined) return;
    this.isEnding = true;
    const ended = {...inForce.session, isEnded: true, servers: []};
    const key = getSessionKey(this.identity.host);
    await this.store.updateObject(key, inForce.version, encodeSession(ended))();
  }

  /** Applies a witness's answer to a heartbeat of a member that this daemon is or was. */
  receiveAnswer(
    target: Member,
    witness: Member,
    sequence: number,
    isFenced: boolean,
  ): void {
    const sentAt = this.sentAt.get(sequence);
    if (sentAt === undefined || !isSameMember(target, this.member)) return;
    this.lease = applyAnswer(this.lease, witness, sentAt, isFenced);
    this.hasHeld ||= this.isHeld();
    if (isFencedForGood(this.lease))
      this.joinAgain('its witnesses have fenced it');
    else this.notifyRenewal();
  }

  /**
   * Returns the present instant. Ends the lease if the clocks have counted different times since it was
   * renewed; heartbeats that are sent at once renew it within a round trip.
   */
  private checkClocks(): Instant {
    const now = this.system.getNow();
    if (this.findDoubtfulHeartbeat(now) === undefined) return now;
    // A process that stood still between the reading of the two clocks sees them differ once.
    const again = this.system.getNow();
    const sentAt = this.findDoubtfulHeartbeat(again);
    if (sentAt !== undefined) this.endDoubtfulLease(sentAt, again);
    return again;
  }

  /** Earlier heartbeats whose answers are still to come were compared when the last one was sent. */
  private findDoubtfulHeartbeat(now: Instant): Instant | undefined {
    const {lastSentAt} = this;
    return lastSentAt === undefined || isTimeKnown(lastSentAt, now)
      ? findDoubtfulAnswer(this.lease, now)
      : lastSentAt;
  }

  private endDoubtfulLease(sentAt: Instant, now: Instant): void {
    this.lease = dropDoubtfulAnswers(this.lease, now);
    for (const [sequence, at] of this.sentAt)
      if (!isTimeKnown(at, now)) this.sentAt.delete(sequence);
    const {lastSentAt} = this;
    if (lastSentAt !== undefined && !isTimeKnown(lastSentAt, now))
      this.lastSentAt = undefined;
    this.lastEnd = {monotonicMs: -Infinity, wallMs: -Infinity};
    if (now.monotonicMs - this.lastDoubtMs < DOUBT_INTERVAL_MS) return;
    this.lastDoubtMs = now.monotonicMs;
    this.log.writeWarning(
      'The clocks have counted different times; the lease has to be renewed.',
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
      end.monotonicMs - this.lastEnd.monotonicMs < RENEWAL_STEP_MS &&
      end.wallMs - this.lastEnd.wallMs < RENEWAL_STEP_MS;
    if (isEarly) return;
    this.lastEnd = end;
    for (const listener of this.renewalListeners) listener();
  }

  private startHeartbeats(): void {
    const beat = () => {
      if (this.isStopped) return;
      this.sendHeartbeats();
      this.system.startTimer(HEARTBEAT_INTERVAL_MS, beat);
    };
    beat();
  }

  private sendHeartbeats(): void {
    const now = this.checkClocks();
    this.sequence += 1;
    this.sentAt.set(this.sequence, now);
    this.lastSentAt = now;
    this.sentAt.delete(this.sequence - KEPT_SEQUENCES);
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
      this.followEarlier(found);
      const wanted = this.createSession(this.chooseWitnesses());
      await this.applyEvent({kind: 'check', wanted, found});
    } finally {
      this.isWriting = false;
    }
  }

  /**
   * Goes on with the slices of the run of this daemon before this process. That run held the address
   * that this process listens on, so it is gone, and the server that holds its grants is still the
   * one on this host.
   */
  private followEarlier(found: VersionedSession | undefined): void {
    const isDue =
      this.isFirstMember &&
      this.writer.inForce === undefined &&
      this.writer.underWay === undefined;
    if (!isDue || found === undefined) return;
    const {member, peerAddress, follows = [], isEnded} = found.session;
    if (isSameMember(member, this.member)) return;
    if (isEnded) {
      // It was ended while this process started: its grants had ended before.
      this.hasFollowedRun = false;
      return;
    }
    const {ip, port} = this.identity.peerAddress;
    const isOwnHost = peerAddress.ip === ip && peerAddress.port === port;
    if (!isOwnHost) return;
    // A longer chain is ended the slow way, which waits until its grants have lapsed.
    if (follows.length >= MAX_FOLLOWED) return;
    this.follows = [member.incarnation, ...follows];
    this.hasFollowedRun = true;
    // Until the server is heard again, others shall not take it for lost.
    this.earlierServers = found.session.servers;
    this.servers = found.session.servers;
  }

  private chooseWitnesses(): readonly Member[] {
    const present = this.getSession();
    const nowMs = this.system.getNow().monotonicMs;
    if (
      present !== undefined &&
      this.hasHeld &&
      nowMs - this.lastSetChangeMs < SETTLE_DELAY_MS
    ) {
      return present.witnesses;
    }
    const self = {...this.identity, member: this.member};
    const live = this.view.getLiveSessions();
    const renewing = live.filter(({member}) => !hasFenced(this.lease, member));
    // With fewer others the set would rest on a single host.
    const hasOthers = renewing.length > SMALL_WITNESS_SET_SIZE;
    const candidates = hasOthers ? renewing : live;
    return chooseWitnesses(self, candidates, present?.witnesses ?? []);
  }

  private async applyEvent(event: WriterEvent): Promise<void> {
    const isFirst = this.writer.inForce === undefined;
    const setsBefore = this.lease.witnessSets.length;
    const step = applyWriterEvent(this.writer, event);
    this.writer = step.state;
    this.applyWitnessSets(setsBefore);
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
   * Waits until a majority of the new witness set has renewed the lease, or no grant that was made
   * before the new set counted is in force any more. A set that takes effect earlier could fence this
   * member, never having heard it, while a server still holds such a grant.
   */
  private async waitForBothSets(): Promise<void> {
    const endMs = this.lastSetChangeMs + LEASE_DURATION_MS;
    while (!this.isHeld() && this.system.getNow().monotonicMs < endMs)
      await waitFor(this.system, SET_POLL_MS);
  }

  private async runEffect(effect: WriterEffect): Promise<void> {
    switch (effect.kind) {
      case 'none':
        return;
      case 'write':
        this.sendHeartbeats();
        // Before the first lease there is no grant of this member that a new set could not know of, and
        // grants of a run that it follows end before a witness that has just seen it takes it for lost.
        if (this.writer.inForce !== undefined && this.hasHeld)
          await this.waitForBothSets();
        // Meanwhile this daemon may have become another member.
        if (this.writer.underWay !== effect.write) return;
        return this.writeSession(effect.write);
      case 'read':
        return this.readSession();
      case 'rejoin':
        this.joinAgain('its session was ended');
        return;
      case 'end-earlier':
        return this.endEarlier(effect.earlier);
    }
  }

  private async endEarlier(earlier: VersionedSession): Promise<void> {
    const isOver = await this.ender.tryEnd(earlier.session, earlier.version);
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
      this.view.applyObject({key, version: written.right, value});
    } else if (written.left.kind !== 'conflict') {
      this.log.writeWarning('The session was not written.', {
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
    const {version, value} = read.right;
    const found = {session: parseSession(value), version};
    await this.applyEvent({kind: 'seen', found});
  }

  private joinAgain(reason: string): void {
    this.log.writeWarning('This member has ended; the daemon joins again.', {
      member: formatMember(this.member),
      reason,
    });
    this.member = {
      host: this.identity.host,
      incarnation: this.system.createId(),
    };
    this.isFirstMember = false;
    this.hasHeld = false;
    this.follows = [];
    this.lease = createLeaseState(this.member, [this.member]);
    this.writer = createWriterState(this.member);
    this.lastEnd = {monotonicMs: -Infinity, wallMs: -Infinity};
    this.sentAt.clear();
    for (const listener of this.rejoinListeners) listener();
  }
}

/** Time after which grants of an incarnation that is gone have lapsed on this host. */
export const EARLIER_GRANTS_LAPSE_MS = LEASE_DURATION_MS;

function getWriteAnswer(written: E.Either<StoreFailure, number>): WriteAnswer {
  if (E.isRight(written)) return {kind: 'written', version: written.right};
  const {kind} = written.left;
  if (kind === 'conflict' || kind === 'unknown') return {kind};
  return {kind: 'no-effect'};
}
