/**
 * Witness role of this daemon: answers heartbeats, votes on fencing requests, and starts the
 * takeover of members whose leases have lapsed.
 *
 * A store that was restored from a backup may name earlier witnesses of a member than those that renew its lease. A vote
 * therefore counts only for the newest session that the witness knows, and a witness that knows a newer one than the
 * daemon that asks for its vote starts the takeover itself. An end that the store lacks is written again.
 */
import type {Log} from '@dottereldrift/core/log.js';
import {formatMember, isSameMember} from '@dottereldrift/core/member.js';
import type {System} from '@dottereldrift/core/system.js';
import type {Address, Instant, Member} from '@dottereldrift/core/types.js';
import {TAKEOVER_STAGGER_MS} from '@dottereldrift/membership/constants.js';
import {isConfirmed} from '@dottereldrift/membership/session_writer.js';
import type {
  Session,
  VersionedSession,
} from '@dottereldrift/membership/types.js';
import {
  applyEnd,
  applyFence,
  applyHeartbeat,
  hasLapsedWith,
  isLapsed,
  type ReplacedProcesses,
  type WitnessState,
} from '@dottereldrift/membership/witness.js';
import type {ObjectVersion} from '@dottereldrift/store/types.js';
import {formatVersion, getOrigin} from '@dottereldrift/store/version.js';

import type {DatagramChannel} from './datagram_channel.js';
import type {StoreView} from './store_view.js';
import type {Takeover} from './takeover.js';

const CHECK_INTERVAL_MS = 100;
const RETRY_INTERVAL_MS = 500;

/** A session that names this member as a witness. */
interface WitnessedSession {
  readonly session: Session;
  /** Index of this member among the witnesses. */
  readonly rank: number;
}

/**
 * Keeps the witness state of this daemon, which records the leases it has renewed and the members
 * it has fenced.
 */
export class WitnessService {
  private state: WitnessState = new Map();
  /**
   * When a session that names this witness was first seen; used for members that have sent no
   * heartbeat.
   */
  private readonly firstSeen = new Map<string, Instant>();
  private readonly lastTriedMs = new Map<string, number>();
  /** Origins of the newer sessions for which votes were refused, by host; each is logged once. */
  private readonly loggedOrigins = new Map<string, ObjectVersion>();
  /** Versions at which the store was found or made to have an end, by member. */
  private readonly endedVersions = new Map<string, ObjectVersion>();
  /** The sessions that name this member, derived from the live ones. */
  private witnessed: {
    readonly live: readonly Session[];
    readonly self: Member | undefined;
    readonly replaced: ReplacedProcesses | undefined;
    readonly sessions: readonly WitnessedSession[];
  } = {live: [], self: undefined, replaced: undefined, sessions: []};
  private isStopped = false;

  constructor(
    private readonly system: System,
    private readonly getSelf: () => Member,
    private readonly getReplaced: () => ReplacedProcesses | undefined,
    private readonly view: StoreView,
    private readonly channel: DatagramChannel,
    private readonly takeover: Takeover,
    private readonly log: Log,
  ) {}

  /** Records a heartbeat and answers whether the member's lease is renewed. */
  receiveHeartbeat(member: Member, sequence: number, from: Address): void {
    const step = applyHeartbeat(this.state, member, this.system.getNow());
    this.state = step.state;
    const self = this.getSelf();
    this.channel.sendAnswer(from, {
      ...member,
      witnessHost: self.host,
      witnessIncarnation: self.incarnation,
      sequence,
      fenced: !step.isGranted,
      configuration: this.view.getManifest()?.generation ?? 0,
    });
  }

  /**
   * Votes on fencing a member. Of requests addressed to another incarnation of this host, grants only those to a
   * process that this one has replaced, after the time of a lease. Refuses if it knows a newer session of the host
   * than the one whose witnesses are asked; an origin of 0 means that the asker did not say which one that is.
   */
  voteOnFence(
    target: Member,
    asked: Member,
    sessionOrigin: ObjectVersion = 0,
  ): boolean {
    const newer = this.findNewerSession(target, sessionOrigin);
    if (newer !== undefined) {
      this.recordNewerSession(target, sessionOrigin, newer);
      return false;
    }
    const self = this.getSelf();
    if (!isSameMember(asked, self)) {
      const now = this.system.getNow();
      const {incarnation, host} = asked;
      return (
        host === self.host &&
        hasLapsedWith(this.getReplaced(), incarnation, now)
      );
    }
    const step = applyFence(this.state, target, this.system.getNow());
    this.state = step.state;
    return step.isGranted;
  }

  /** Checks the leases periodically until `stop` is called. */
  start(): void {
    const check = () => {
      if (this.isStopped) return;
      this.checkLeases();
      this.system.startTimer(CHECK_INTERVAL_MS, check);
    };
    check();
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Permanently rejects heartbeats of known members whose sessions have ended. */
  fenceEnded(): void {
    for (const record of this.state.values()) {
      if (!record.isFenced && this.hasEnded(record.member))
        this.state = applyEnd(this.state, record.member);
    }
    for (const name of this.firstSeen.keys()) {
      const host = name.slice(0, name.lastIndexOf('#'));
      const session = this.view.getSession(host)?.session;
      if (
        session === undefined ||
        session.isEnded ||
        formatMember(session.member) !== name
      ) {
        this.firstSeen.delete(name);
        this.lastTriedMs.delete(name);
      }
    }
  }

  /** A member that sends heartbeats before its session is written has not ended. */
  private hasEnded(member: Member): boolean {
    const session = this.view.getSession(member.host)?.session;
    return (
      session !== undefined &&
      session.isEnded &&
      isSameMember(session.member, member)
    );
  }

  private findNewerSession(
    {host}: Member,
    sessionOrigin: ObjectVersion,
  ): VersionedSession | undefined {
    const known = this.view.getSession(host);
    if (sessionOrigin === 0 || known === undefined) return undefined;
    return getOrigin(known) > sessionOrigin ? known : undefined;
  }

  private recordNewerSession(
    target: Member,
    sessionOrigin: ObjectVersion,
    newer: VersionedSession,
  ): void {
    const origin = getOrigin(newer);
    if (this.loggedOrigins.get(target.host) !== origin)
      this.log.writeWarning(
        'A vote is refused, because a newer session is known.',
        {
          member: formatMember(target),
          origin: formatVersion(sessionOrigin),
          newerMember: formatMember(newer.session.member),
          newerOrigin: formatVersion(origin),
        },
      );
    this.loggedOrigins.set(target.host, origin);
    const now = this.system.getNow();
    // The asker cannot learn of that session if the store has lost it.
    if (!newer.session.isEnded && this.isLost(newer.session, 0, now))
      this.startTakeover(newer.session, now);
  }

  private checkLeases(): void {
    const now = this.system.getNow();
    for (const {session, rank} of this.listWitnessed()) {
      if (this.isLost(session, rank, now)) this.startTakeover(session, now);
    }
    if (this.view.getEra() > 0) this.writeLostEnds(now);
  }

  /** Writes the ends of members again that the restored store may lack. */
  private writeLostEnds(now: Instant): void {
    for (const {member} of this.state.values()) {
      const known = this.view.getSession(member.host);
      const isLostEnd =
        known !== undefined &&
        known.session.isEnded &&
        isSameMember(known.session.member, member) &&
        !isConfirmed(known) &&
        this.endedVersions.get(formatMember(member)) !== known.version;
      if (isLostEnd) this.startTakeover(known.session, now);
    }
  }

  /**
   * Lists the sessions that name this member, or a process that it has replaced, as a witness, with its rank among
   * their witnesses.
   */
  private listWitnessed(): readonly WitnessedSession[] {
    const live = this.view.getLiveSessions();
    const self = this.getSelf();
    const replaced = this.getReplaced();
    const {witnessed} = this;
    if (
      witnessed.live === live &&
      witnessed.self === self &&
      witnessed.replaced === replaced
    )
      return witnessed.sessions;
    const isOwn = ({host, incarnation}: Member) =>
      host === self.host &&
      (incarnation === self.incarnation ||
        replaced?.incarnations.includes(incarnation) === true);
    const sessions = live.flatMap(session => {
      const rank = session.witnesses.findIndex(isOwn);
      const isWitnessed = rank >= 0 && !isSameMember(session.member, self);
      return isWitnessed ? [{session, rank}] : [];
    });
    this.witnessed = {live, self, replaced, sessions};
    return sessions;
  }

  private isLost(session: Session, rank: number, now: Instant): boolean {
    const name = formatMember(session.member);
    const record = this.state.get(name);
    if (!this.firstSeen.has(name)) this.firstSeen.set(name, now);
    const since = record?.heardAt ?? this.firstSeen.get(name) ?? now;
    const delayMs = rank * TAKEOVER_STAGGER_MS;
    return isLapsed({...since, monotonicMs: since.monotonicMs + delayMs}, now);
  }

  private startTakeover(session: Session, now: Instant): void {
    const name = formatMember(session.member);
    const lastTriedMs = this.lastTriedMs.get(name) ?? -Infinity;
    if (now.monotonicMs - lastTriedMs < RETRY_INTERVAL_MS) return;
    this.lastTriedMs.set(name, now.monotonicMs);
    this.log.writeInfo(
      session.isEnded
        ? 'The restored store may lack the end of a member.'
        : 'A lease has expired; starting the takeover.',
      {member: name},
    );
    void this.tryEnd(session.member);
  }

  private async tryEnd(member: Member): Promise<void> {
    const isEnded = await this.takeover.tryEndMember(member);
    const known = this.view.getSession(member.host);
    if (isEnded && known !== undefined)
      this.endedVersions.set(formatMember(member), known.version);
  }
}
