/**
 * Keeps this daemon's session in the store and its lease with its witnesses.
 *
 * One write of the session is under way at a time. A write whose answer was lost is settled by the
 * next conditional update at the same version, never by reading the old version back; until then the
 * lease needs a majority of every witness set that may be in force.
 */
import * as E from 'fp-ts/lib/Either.js';

import type {Log} from '@dottereldrift/core/log.js';
import {formatMember, isSameMember} from '@dottereldrift/core/member.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {Instant, Member} from '@dottereldrift/core/types.js';
import {
  HEARTBEAT_INTERVAL_MS,
  LEASE_DURATION_MS,
} from '@dottereldrift/membership/constants.js';
import {
  applyAnswer,
  createLeaseState,
  finishSetChange,
  getLeaseEnd,
  getWitnesses,
  isFencedForGood,
  isLeaseHeld,
  type LeaseState,
  startSetChange,
} from '@dottereldrift/membership/lease_holder.js';
import {
  encodeSession,
  getSessionKey,
  parseSession,
} from '@dottereldrift/membership/session_record.js';
import type {ServerInfo, Session} from '@dottereldrift/membership/types.js';
import {
  chooseWitnesses,
  isSameSet,
} from '@dottereldrift/membership/witness_choice.js';
import type {
  ObjectStore,
  StoreFailure,
  StoredObject,
} from '@dottereldrift/store/types.js';

import type {DatagramChannel} from './datagram_channel.js';
import type {StoreView} from './store_view.js';

const CHECK_INTERVAL_MS = 250;
const WRITE_RETRY_DELAY_MS = 300;
const SETTLE_DELAY_MS = 1_000;
/** Sequences whose send times are kept; more than are sent within one lease. */
const KEPT_SEQUENCES = 64;

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
  private inForce: Session | undefined;
  private version = 0;
  private servers: readonly ServerInfo[] = [];
  private isLeaving = false;
  private isWriting = false;
  private sequence = 0;
  private readonly sentAt = new Map<number, Instant>();
  private isStopped = false;
  private lastSetChangeMs = -Infinity;
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
  }

  /** Returns this run of the daemon; it changes after the present one was fenced. */
  getMember(): Member {
    return this.member;
  }

  /** Tells whether requests may be run now. */
  isHeld(): boolean {
    return (
      this.inForce !== undefined &&
      isLeaseHeld(this.lease, this.system.getNow())
    );
  }

  /** Returns when the lease ends unless it is renewed. */
  getEnd(): Instant {
    return getLeaseEnd(this.lease);
  }

  getSession(): Session | undefined {
    return this.inForce;
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

  /** Writes the session, then heartbeats until it is stopped. */
  async run(): Promise<void> {
    this.startHeartbeats();
    while (!this.isStopped) {
      await this.writeIfNeeded();
      await waitFor(this.system, CHECK_INTERVAL_MS);
    }
  }

  /** Ends the session in the store and stops heartbeats. */
  async stop(): Promise<void> {
    this.isStopped = true;
    while (this.isWriting) await waitFor(this.system, CHECK_INTERVAL_MS / 10);
    if (this.inForce === undefined) return;
    const ended = {...this.inForce, isEnded: true, servers: []};
    this.inForce = undefined;
    await this.store.updateObject(
      getSessionKey(this.identity.host),
      this.version,
      encodeSession(ended),
    )();
  }

  /** Applies a witness's answer to a heartbeat. */
  receiveAnswer(witness: Member, sequence: number, isFenced: boolean): void {
    const sentAt = this.sentAt.get(sequence);
    if (sentAt === undefined) return;
    this.lease = applyAnswer(this.lease, witness, sentAt, isFenced);
    if (isFencedForGood(this.lease))
      this.joinAgain('its witnesses have fenced it');
    else for (const listener of this.renewalListeners) listener();
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
    this.sequence += 1;
    this.sentAt.set(this.sequence, this.system.getNow());
    this.sentAt.delete(this.sequence - KEPT_SEQUENCES);
    for (const witness of getWitnesses(this.lease)) {
      const address = isSameMember(witness, this.member)
        ? this.identity.peerAddress
        : this.view.getSession(witness.host)?.session.peerAddress;
      if (address === undefined) continue;
      this.channel.sendHeartbeat(address, {
        ...this.member,
        sequence: this.sequence,
      });
    }
  }

  private async writeIfNeeded(): Promise<void> {
    if (this.isWriting || this.isStopped || !this.view.isLoaded()) return;
    this.isWriting = true;
    try {
      if (this.inForce === undefined) await this.startSession();
      else await this.updateSession(this.inForce);
    } finally {
      this.isWriting = false;
    }
  }

  private async startSession(): Promise<void> {
    const present = this.view.getSession(this.identity.host);
    if (present !== undefined && !present.session.isEnded) {
      if (isSameMember(present.session.member, this.member)) {
        this.adoptSession(present.session, present.version);
        return;
      }
      const isOver = await this.ender.tryEnd(present.session, present.version);
      if (!isOver) await waitFor(this.system, WRITE_RETRY_DELAY_MS);
      return;
    }
    const witnesses = chooseWitnesses(
      {...this.identity, member: this.member},
      this.view.getLiveSessions(),
      [],
    );
    this.lease = createLeaseState(this.member, witnesses);
    await this.writeSession(
      this.createSession(witnesses),
      present?.version ?? 0,
    );
  }

  private async updateSession(inForce: Session): Promise<void> {
    const known = this.view.getSession(this.identity.host);
    if (known !== undefined && known.version > this.version) {
      this.adoptOrRejoin(known.session, known.version);
      return;
    }
    const witnesses = this.chooseNextWitnesses(inForce);
    const next = this.createSession(witnesses);
    const isUnsettled = this.lease.witnessSets.length > 1;
    if (!isUnsettled && isSameSession(inForce, next)) return;
    if (!isSameSet(inForce.witnesses, witnesses)) {
      this.lastSetChangeMs = this.system.getNow().monotonicMs;
      this.lease = startSetChange(this.lease, witnesses);
      this.sendHeartbeats();
    }
    await this.writeSession(next, this.version);
  }

  private chooseNextWitnesses(inForce: Session): readonly Member[] {
    const sinceChangeMs =
      this.system.getNow().monotonicMs - this.lastSetChangeMs;
    if (sinceChangeMs < SETTLE_DELAY_MS) return inForce.witnesses;
    const live = this.view.getLiveSessions();
    return chooseWitnesses(inForce, live, inForce.witnesses);
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
    };
  }

  private async writeSession(
    session: Session,
    expectedVersion: number,
  ): Promise<void> {
    const key = getSessionKey(this.identity.host);
    const value = encodeSession(session);
    const written = await this.store.updateObject(
      key,
      expectedVersion,
      value,
    )();
    if (!isSameMember(session.member, this.member)) return;
    if (E.isRight(written)) {
      this.adoptSession(session, written.right);
      this.view.applyObject({key, version: written.right, value});
    } else {
      await this.handleFailedWrite(written.left);
    }
  }

  private async handleFailedWrite(failure: StoreFailure): Promise<void> {
    if (failure.kind !== 'conflict') {
      this.log.writeWarning('The session was not written.', {
        reason: failure.text,
      });
      await waitFor(this.system, WRITE_RETRY_DELAY_MS);
      return;
    }
    const read = await this.store.getObject(
      getSessionKey(this.identity.host),
    )();
    if (E.isLeft(read) || read.right === undefined) return;
    this.settleConflict(read.right);
  }

  private settleConflict(found: StoredObject): void {
    this.view.applyObject(found);
    if (this.inForce === undefined) return;
    if (found.version > this.version) {
      this.adoptOrRejoin(parseSession(found.value), found.version);
    }
  }

  private adoptOrRejoin(session: Session, version: number): void {
    const isOurs =
      isSameMember(session.member, this.member) && !session.isEnded;
    if (isOurs) this.adoptSession(session, version);
    else this.joinAgain('its session was ended');
  }

  private adoptSession(session: Session, version: number): void {
    const isFirst = this.inForce === undefined;
    this.inForce = session;
    this.version = version;
    this.lease = finishSetChange(this.lease, session.witnesses);
    if (isFirst) {
      this.log.writeInfo('The session is in force.', {
        member: formatMember(this.member),
      });
      this.sendHeartbeats();
    }
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
    this.lease = createLeaseState(this.member, [this.member]);
    this.inForce = undefined;
    this.version = 0;
    this.sentAt.clear();
    for (const listener of this.rejoinListeners) listener();
  }
}

/** Time after which grants of an incarnation that is gone have lapsed on this host. */
export const EARLIER_GRANTS_LAPSE_MS = LEASE_DURATION_MS;

function isSameSession(a: Session, b: Session): boolean {
  return Buffer.from(encodeSession(a)).equals(Buffer.from(encodeSession(b)));
}
