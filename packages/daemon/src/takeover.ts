/**
 * Ends the session of an unreachable member: a majority of its witnesses fence it, then its session
 * is marked as ended by a conditional update at the version whose witnesses voted.
 *
 * A store that was restored from a backup may have an older session. The session that was written last, as far as this
 * daemon knows, then names the witnesses, and the update expects the version that was read.
 */
import * as E from 'fp-ts/lib/Either.js';

import type {Log} from '@dottereldrift/core/log.js';
import {formatMember, isSameMember} from '@dottereldrift/core/member.js';
import type {Address, Member} from '@dottereldrift/core/types.js';
import {getMajority} from '@dottereldrift/membership/lease_holder.js';
import {
  encodeSession,
  getSessionKey,
  parseSession,
} from '@dottereldrift/membership/session_record.js';
import type {
  Session,
  VersionedSession,
} from '@dottereldrift/membership/types.js';
import type {ObjectStore, ObjectVersion} from '@dottereldrift/store/types.js';
import {getExpectedVersion, getOrigin} from '@dottereldrift/store/version.js';

import type {PeerClients} from './peer_client.js';
import type {StoreView} from './store_view.js';

/** A session as this daemon knows it, and as the store has it. */
interface ReadSession {
  /** The session that was written last. */
  readonly known: VersionedSession;
  /** Version of the object that was read; 0 if the store has none. */
  readonly expectedVersion: ObjectVersion;
  /** Whether the store has the session of the same member as ended. */
  readonly isEndStored: boolean;
}

/** Ends the sessions of lost members. */
export class Takeover {
  private readonly inProgress = new Set<string>();

  constructor(
    private readonly store: ObjectStore,
    private readonly view: StoreView,
    private readonly peers: PeerClients,
    private readonly getSelf: () => Member,
    private readonly voteLocally: (
      target: Member,
      asked: Member,
      sessionOrigin: ObjectVersion,
    ) => boolean,
    private readonly log: Log,
  ) {}

  /** Tries to end a member. Resolves to false if it could not be fenced or the store did not answer. */
  async tryEndMember(member: Member): Promise<boolean> {
    const name = formatMember(member);
    if (this.inProgress.has(name)) return false;
    this.inProgress.add(name);
    try {
      return await this.tryEnd(member);
    } finally {
      this.inProgress.delete(name);
    }
  }

  /**
   * Ends the member of a host without votes, because an operator has confirmed that the host is
   * off.
   */
  async forceEnd(host: string): Promise<Member | undefined> {
    const read = await this.readSession(host);
    if (read === undefined) return undefined;
    const {known, expectedVersion, isEndStored} = read;
    const isEnded =
      isEndStored || (await this.tryWriteEnd(known.session, expectedVersion));
    return isEnded ? known.session.member : undefined;
  }

  /**
   * Ends a session at the version that was read, without votes: its own host confirms that it is
   * over.
   */
  tryWriteEnd(session: Session, version: number): Promise<boolean> {
    return this.writeEnd(session, version);
  }

  private async tryEnd(member: Member): Promise<boolean> {
    const read = await this.readSession(member.host);
    if (read === undefined) return false;
    const {known, expectedVersion, isEndStored} = read;
    const {session} = known;
    if (isEndStored || !isSameMember(session.member, member)) return true;
    // An end that the restored store lacks needs no votes: the member was fenced before it was written.
    const mayEnd = session.isEnded || (await this.isFencedByMajority(known));
    return mayEnd && (await this.writeEnd(session, expectedVersion));
  }

  /** Reads a session into the view. Returns undefined if it is not known or the store did not answer. */
  private async readSession(host: string): Promise<ReadSession | undefined> {
    const read = await this.store.getObject(getSessionKey(host))();
    if (E.isLeft(read)) return undefined;
    const object = read.right;
    if (object !== undefined) this.view.applyObject(object);
    const known = this.view.getSession(host);
    if (known === undefined) return undefined;
    const stored = object && parseSession(object.value);
    const isEndStored =
      stored?.isEnded === true &&
      isSameMember(stored.member, known.session.member);
    return {known, expectedVersion: getExpectedVersion(object), isEndStored};
  }

  private async writeEnd(session: Session, version: number): Promise<boolean> {
    const key = getSessionKey(session.member.host);
    const value = encodeSession({...session, isEnded: true, servers: []});
    const written = await this.store.updateObject(key, version, value)();
    if (E.isLeft(written)) {
      this.log.writeInfo('A session could not be ended.', {
        reason: written.left.text,
      });
      return false;
    }
    this.view.applyObject({key, version: written.right, value});
    this.log.writeWarning('A member has ended.', {
      member: formatMember(session.member),
    });
    return true;
  }

  private async isFencedByMajority(known: VersionedSession): Promise<boolean> {
    const {session} = known;
    const votes = await Promise.all(
      session.witnesses.map(witness =>
        this.askForVote(session.member, witness, getOrigin(known)),
      ),
    );
    const granted = votes.filter(vote => vote).length;
    return granted >= getMajority(session.witnesses.length);
  }

  private async askForVote(
    target: Member,
    witness: Member,
    sessionOrigin: ObjectVersion,
  ): Promise<boolean> {
    if (witness.host === this.getSelf().host)
      return this.voteLocally(target, witness, sessionOrigin);
    const address = this.getAddress(witness);
    if (address === undefined) return false;
    try {
      const answer = await this.peers
        .getClient(address)
        .fence({target, witness, sessionOrigin: BigInt(sessionOrigin)});
      return answer.granted;
    } catch (error) {
      this.log.writeDebug('A witness did not vote.', {reason: String(error)});
      return false;
    }
  }

  private getAddress(member: Member): Address | undefined {
    return this.view.getSession(member.host)?.session.peerAddress;
  }
}
