/**
 * Recovers the assignments of services after the store was restored from a backup: asks the live daemons which
 * assignment each of them knows, and answers such questions of others. The coordinator writes the assignment that was
 * written last, and places nothing by the one in the store before. `ownership/assignment_recovery.ts` decides.
 */
import {getErrorText} from '@dottereldrift/core/errors.js';
import type {Log} from '@dottereldrift/core/log.js';
import {formatMember, isSameMember} from '@dottereldrift/core/member.js';
import type {System} from '@dottereldrift/core/system.js';
import type {Member, ServiceName, Token} from '@dottereldrift/core/types.js';
import {
  DRIFT_MARGIN_MS,
  LEASE_DURATION_MS,
} from '@dottereldrift/membership/constants.js';
import type {Session} from '@dottereldrift/membership/types.js';
import {getAssignmentKey} from '@dottereldrift/ownership/assignment_record.js';
import {
  evaluateRecovery,
  getFirstGeneration,
  type RecoveryAnswer,
  type RecoveryDecision,
  type RecoveryParticipant,
  type RecoveryWaits,
} from '@dottereldrift/ownership/assignment_recovery.js';
import type {SliceRef} from '@dottereldrift/ownership/types.js';
import type {ObjectRecord} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';
import type {StoredObject} from '@dottereldrift/store/types.js';
import {
  formatVersion,
  getEra,
  getOrigin,
} from '@dottereldrift/store/version.js';

import type {ControlCounters} from './control_counters.js';
import {type PeerClients, PEER_CALL_TIMEOUT_MS} from './peer_client.js';
import {encodeObject, parseObject} from './relay_codec.js';
import type {StoreView} from './store_view.js';

/** Maximum times to wait for members, in milliseconds. */
export const RECOVERY_WAITS: RecoveryWaits = {
  // Grants end with the lease of the daemon that issued them, and it had ended before it was first asked.
  lostGrantsMs: LEASE_DURATION_MS + DRIFT_MARGIN_MS,
  // The witnesses of a lost member end its session within about 3 s, after which it is not waited for. A member that is
  // live for longer holds its lease, but this daemon cannot reach it.
  unansweredMs: 4_000,
  unansweredIfUncertainMs: 10_000,
};

/** Minimum interval between two rounds of questions, in milliseconds. */
const ASK_INTERVAL_MS = 300;
/** Number of daemons that are asked at once. */
const MAX_CONCURRENT_CALLS = 32;

/** Lists the slices of a service whose release was requested of this daemon. */
export type ReleaseList = (service: ServiceName) => readonly SliceRef[];

/** What this daemon knows of an assignment, for another one that recovers it. */
export interface AssignmentDescription {
  readonly object: StoredObject | undefined;
  readonly isCertain: boolean;
  readonly released: readonly SliceRef[];
}

interface Participant {
  readonly member: Member;
  readonly firstAskedMs: number;
  answer: RecoveryAnswer | undefined;
}

interface Attempt {
  readonly era: number;
  readonly startedMs: number;
  readonly participants: Map<string, Participant>;
  isAsking: boolean;
  nextRoundMs: number;
}

/** Asks for the assignments of services and decides how they go on. */
export class AssignmentRecovery {
  private readonly attempts = new Map<ServiceName, Attempt>();
  /** Eras in which no daemon knew an assignment of a service, with the generation that the first one exceeds. */
  private readonly absentSince = new Map<
    ServiceName,
    {readonly era: number; readonly lastGeneration: number}
  >();

  constructor(
    private readonly system: System,
    private readonly view: StoreView,
    private readonly peers: Pick<PeerClients, 'getClient'>,
    private readonly getSelf: () => Member,
    private readonly listReleases: ReleaseList,
    private readonly counters: Pick<ControlCounters, 'assignmentRecoveries'>,
    private readonly log: Log,
  ) {}

  /** Returns what this daemon knows of the assignment of a service. */
  readOwnAssignment(service: ServiceName): AssignmentDescription {
    return {
      object: this.view.getObject(getAssignmentKey(service)),
      isCertain: !this.view.isUncertain(this.view.getAssignment(service)),
      released: this.listReleases(service),
    };
  }

  /**
   * Returns whether the assignment of a service must be recovered before it may change: the store was restored and has
   * not been told the one that was written last. Never true for a store that was not restored.
   */
  isNeeded(service: ServiceName): boolean {
    const era = this.view.getEra();
    const known = this.view.getAssignment(service);
    if (known === undefined)
      return era > 0 && this.absentSince.get(service)?.era !== era;
    const origin = getOrigin(known);
    return origin !== known.version || getEra(origin) < era;
  }

  /**
   * Returns the highest token that an earlier process on this host may have granted by an assignment that this one does
   * not know; 0 if there is none.
   */
  getHighestLostToken(service: ServiceName): Token {
    return this.view.isUncertain(this.view.getAssignment(service))
      ? Math.max(0, getFirstGeneration(this.view.getEra()) - 1)
      : 0;
  }

  /** Returns the generation that the first assignment of a service exceeds. */
  getLastGeneration(service: ServiceName): number {
    return this.absentSince.get(service)?.lastGeneration ?? 0;
  }

  /** Asks the members that have not answered, in the background, and decides by the answers so far. */
  continueRecovery(
    service: ServiceName,
    onAnswer: () => void,
  ): RecoveryDecision {
    const attempt = this.getAttempt(service);
    this.addParticipants(service, attempt);
    void this.askParticipants(service, attempt, onAnswer);
    const nowMs = this.system.getNow().monotonicMs;
    const decision = evaluateRecovery({
      service,
      era: attempt.era,
      known: this.view.getAssignment(service)?.assignment,
      participants: this.listParticipants(attempt).map(
        ({member, firstAskedMs, answer}): RecoveryParticipant => ({
          member,
          waitedMs: nowMs - firstAskedMs,
          answer,
        }),
      ),
      writer: this.getSelf(),
      waits: RECOVERY_WAITS,
    });
    if (decision.kind === 'place') {
      const {lastGeneration} = decision;
      this.absentSince.set(service, {era: attempt.era, lastGeneration});
      this.finish(service);
    }
    return decision;
  }

  /** Records that the store has the assignment, or that there is none. */
  finish(service: ServiceName): void {
    const attempt = this.attempts.get(service);
    if (attempt === undefined) return;
    this.attempts.delete(service);
    const participants = this.listParticipants(attempt);
    const answers = participants.flatMap(({answer}) => answer ?? []);
    this.log.writeInfo('The recovery of an assignment has ended.', {
      service,
      era: attempt.era,
      asked: participants.length,
      answered: answers.length,
      certain: answers.filter(({isCertain}) => isCertain).length,
      generation: this.view.getAssignment(service)?.assignment.generation ?? 0,
      waitedMs: Math.round(
        this.system.getNow().monotonicMs - attempt.startedMs,
      ),
    });
  }

  private getAttempt(service: ServiceName): Attempt {
    const era = this.view.getEra();
    const present = this.attempts.get(service);
    if (present?.era === era) return present;
    const startedMs = this.system.getNow().monotonicMs;
    const attempt: Attempt = {
      era,
      startedMs,
      participants: new Map(),
      isAsking: false,
      nextRoundMs: startedMs,
    };
    this.attempts.set(service, attempt);
    this.counters.assignmentRecoveries += 1;
    const known = this.view.getAssignment(service);
    this.log.writeWarning(
      'The store was restored; asking for the assignment before it changes.',
      {
        service,
        era,
        origin: known === undefined ? '' : formatVersion(getOrigin(known)),
        generation: known?.assignment.generation ?? 0,
        isUncertain: this.view.isUncertain(known),
      },
    );
    return attempt;
  }

  private addParticipants(service: ServiceName, attempt: Attempt): void {
    const firstAskedMs = this.system.getNow().monotonicMs;
    const {participants} = attempt;
    for (const member of [this.getSelf(), ...this.view.getLiveMembers()]) {
      const name = formatMember(member);
      if (participants.has(name)) continue;
      participants.set(name, {member, firstAskedMs, answer: undefined});
    }
    const self = participants.get(formatMember(this.getSelf()));
    if (self === undefined) return;
    const {object, isCertain, released} = this.readOwnAssignment(service);
    const hasAssignment = object !== undefined;
    // Only what this daemon had itself makes it certain, not what others have told it meanwhile.
    self.answer = {
      isCertain,
      hasAssignment: self.answer?.hasAssignment ?? hasAssignment,
      released,
    };
  }

  /** Lists the participants that are still live. */
  private listParticipants(attempt: Attempt): readonly Participant[] {
    const live = new Set(this.view.getLiveMembers().map(formatMember));
    live.add(formatMember(this.getSelf()));
    return [...attempt.participants]
      .filter(([name]) => live.has(name))
      .map(([, participant]) => participant);
  }

  private async askParticipants(
    service: ServiceName,
    attempt: Attempt,
    onAnswer: () => void,
  ): Promise<void> {
    const nowMs = this.system.getNow().monotonicMs;
    const pending = this.listParticipants(attempt).filter(
      ({answer}) => answer === undefined,
    );
    if (pending.length === 0 || attempt.isAsking || nowMs < attempt.nextRoundMs)
      return;
    attempt.isAsking = true;
    attempt.nextRoundMs = nowMs + ASK_INTERVAL_MS;
    while (pending.length > 0) {
      const batch = pending.splice(0, MAX_CONCURRENT_CALLS);
      await Promise.all(
        batch.map(participant => this.askParticipant(service, participant)),
      );
      onAnswer();
    }
    attempt.isAsking = false;
  }

  private async askParticipant(
    service: ServiceName,
    participant: Participant,
  ): Promise<void> {
    const session = this.findSession(participant.member);
    if (session === undefined) return;
    try {
      const client = this.peers.getClient(session.peerAddress);
      const response = await client.describeAssignment(
        {service},
        {timeoutMs: PEER_CALL_TIMEOUT_MS},
      );
      const {assignment, isCertain} = response;
      if (assignment !== undefined) this.applyAnswer(assignment);
      participant.answer = {
        isCertain,
        hasAssignment: assignment !== undefined,
        released: response.released.map(({start, token}) => ({
          start,
          token: Number(token),
        })),
      };
    } catch (error) {
      this.log.writeDebug('A daemon did not describe its assignment.', {
        member: formatMember(participant.member),
        reason: getErrorText(error),
      });
    }
  }

  private findSession(member: Member): Session | undefined {
    const session = this.view.getSession(member.host)?.session;
    return session !== undefined && isSameMember(session.member, member)
      ? session
      : undefined;
  }

  /**
   * Applies an assignment that another daemon knows. One that the store does not contain, and that this daemon did not
   * know, is recorded as absent.
   */
  private applyAnswer(record: ObjectRecord): void {
    const object = parseObject(record);
    const revision = this.view.getRevision();
    const isMissing =
      this.view.getObject(object.key) === undefined &&
      getEra(object.version) < getEra(revision);
    this.view.applyObject(
      isMissing
        ? {
            ...object,
            version: revision,
            origin: getOrigin(object),
            isAbsent: true,
          }
        : object,
    );
  }
}

/** Encodes a description as the message that answers the question for it. */
export function encodeDescription(
  service: ServiceName,
  {object, isCertain, released}: AssignmentDescription,
) {
  const key = getAssignmentKey(service);
  return {
    ...(object === undefined ? {} : {assignment: encodeObject(key, object, 0)}),
    isCertain,
    released: released.map(({start, token}) => ({start, token: BigInt(token)})),
  };
}
