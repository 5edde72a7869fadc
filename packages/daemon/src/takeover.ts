/**
 * Ends the session of an unreachable member: a majority of its witnesses fence it, then its session
 * is marked as ended by a conditional update at the version whose witnesses voted.
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
import type {Session} from '@dottereldrift/membership/types.js';
import type {ObjectStore} from '@dottereldrift/store/types.js';

import type {PeerClients} from './peer_client.js';
import type {StoreView} from './store_view.js';

/** Ends the sessions of lost members. */
export class Takeover {
  private readonly inProgress = new Set<string>();

  constructor(
    private readonly store: ObjectStore,
    private readonly view: StoreView,
    private readonly peers: PeerClients,
    private readonly getSelf: () => Member,
    private readonly voteLocally: (target: Member, asked: Member) => boolean,
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
    const read = await this.store.getObject(getSessionKey(host))();
    if (E.isLeft(read) || read.right === undefined) return undefined;
    const session = parseSession(read.right.value);
    const isEnded =
      session.isEnded || (await this.tryWriteEnd(session, read.right.version));
    return isEnded ? session.member : undefined;
  }

  /**
   * Ends a session at the version that was read, without votes: its own host confirms that it is
   * over.
   */
  tryWriteEnd(session: Session, version: number): Promise<boolean> {
    return this.writeEnd(session, version);
  }

  private async tryEnd(member: Member): Promise<boolean> {
    const read = await this.store.getObject(getSessionKey(member.host))();
    if (E.isLeft(read) || read.right === undefined) return false;
    this.view.applyObject(read.right);
    const session = parseSession(read.right.value);
    if (session.isEnded || !isSameMember(session.member, member)) return true;
    if (!(await this.isFencedByMajority(session))) return false;
    return this.writeEnd(session, read.right.version);
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

  private async isFencedByMajority(session: Session): Promise<boolean> {
    const votes = await Promise.all(
      session.witnesses.map(witness =>
        this.askForVote(session.member, witness),
      ),
    );
    const granted = votes.filter(vote => vote).length;
    return granted >= getMajority(session.witnesses.length);
  }

  private async askForVote(target: Member, witness: Member): Promise<boolean> {
    if (witness.host === this.getSelf().host)
      return this.voteLocally(target, witness);
    const address = this.getAddress(witness);
    if (address === undefined) return false;
    try {
      const answer = await this.peers
        .getClient(address)
        .fence({target, witness});
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
