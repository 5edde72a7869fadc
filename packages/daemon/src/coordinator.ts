/**
 * This daemon as a coordinator: decides placement of the services it is chosen for, carries planned
 * moves through, and judges submitted manifests. Every decision takes effect by a conditional update
 * only, so two coordinators at once do no harm.
 */
import * as E from 'fp-ts/lib/Either.js';

import type {Log} from '@dottereldrift/core/log.js';
import {formatMember, isSameMember} from '@dottereldrift/core/member.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {Member, ServiceName} from '@dottereldrift/core/types.js';
import {judgeManifest} from '@dottereldrift/manifest/acceptance.js';
import type {ServiceRules} from '@dottereldrift/manifest/types.js';
import {
  encodeAssignment,
  getAssignmentKey,
} from '@dottereldrift/ownership/assignment_record.js';
import {chooseCoordinator} from '@dottereldrift/ownership/coordinator_choice.js';
import {getSliceEnd} from '@dottereldrift/ownership/slices.js';
import type {
  Slice,
  SliceRef,
  VersionedAssignment,
} from '@dottereldrift/ownership/types.js';
import type {ObjectStore} from '@dottereldrift/store/types.js';

import type {PeerClients} from './peer_client.js';
import type {PlacementPlanner} from './placement_planner.js';
import {
  ACCEPTED_MANIFEST_KEY,
  MANIFEST_STATUS_KEY,
  type StoreView,
} from './store_view.js';

const IDLE_INTERVAL_MS = 500;
const MOVING_INTERVAL_MS = 20;
/** Time for daemons that start together to be seen before slices are first given. */
const FIRST_PLACEMENT_DELAY_MS = 1_000;
const CONFIGURATION_SUBJECT = 'configuration';

/** Releases slices that this daemon itself owns. */
export type LocalRelease = (
  service: ServiceName,
  owner: Member,
  nextOwner: Member,
  refs: readonly SliceRef[],
) => Promise<readonly SliceRef[]>;

/** Runs the coordinator's part of this daemon. */
export class Coordinator {
  private isStopped = false;
  private readonly firstSeenMs = new Map<ServiceName, number>();
  /** Moves whose owner has been asked and has not answered. */
  private readonly releasing = new Set<string>();
  /** Slices that were released and are not yet taken into an assignment, by move. */
  private readonly released = new Map<string, readonly SliceRef[]>();
  private wake: () => void = () => {};
  private hasChanged = false;

  constructor(
    private readonly system: System,
    private readonly store: ObjectStore,
    private readonly view: StoreView,
    private readonly peers: PeerClients,
    private readonly getSelf: () => Member,
    private readonly isActive: () => boolean,
    private readonly releaseLocally: LocalRelease,
    private readonly planner: PlacementPlanner,
    private readonly log: Log,
  ) {}

  /** Decides until it is stopped. */
  async run(): Promise<void> {
    this.view.addListener(() => {
      this.hasChanged = true;
      this.wake();
    });
    while (!this.isStopped) {
      this.hasChanged = false;
      const isMoving = await this.runOnce();
      // A change that came while this daemon was deciding woke nobody.
      const isDue = isMoving || this.hasChanged;
      await this.waitForChange(isDue ? MOVING_INTERVAL_MS : IDLE_INTERVAL_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
    this.wake();
  }

  private waitForChange(delayMs: number): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.system.startTimer(delayMs, resolve);
      this.wake = () => {
        cancel();
        resolve();
      };
    });
  }

  private async runOnce(): Promise<boolean> {
    if (!this.isActive()) return false;
    const live = this.view.getLiveSessions().map(session => session.member);
    if (this.isChosen(CONFIGURATION_SUBJECT, live)) await this.judgeSubmitted();
    const services = Object.entries(
      this.view.getManifest()?.manifest.services ?? {},
    );
    let isMoving = false;
    for (const [service, rules] of services) {
      if (rules.slicesPerServer === 0) continue;
      if (!this.isChosen(service, live)) continue;
      isMoving = (await this.placeService(service, rules)) || isMoving;
    }
    return isMoving;
  }

  private isChosen(subject: string, live: readonly Member[]): boolean {
    const chosen = chooseCoordinator(subject, live);
    return chosen !== undefined && isSameMember(chosen, this.getSelf());
  }

  private async judgeSubmitted(): Promise<void> {
    const submitted = this.view.getSubmitted();
    const status = this.view.getStatus();
    if (submitted === undefined) return;
    const text = Buffer.from(submitted.value).toString('utf8');
    const judged = judgeManifest(
      {text, version: submitted.version},
      this.view.getManifest(),
      status?.value,
    );
    if (judged === undefined) return;
    if (judged.accepted !== undefined) {
      const isWritten = await this.writeJson(
        ACCEPTED_MANIFEST_KEY,
        this.view.getAcceptedVersion(),
        judged.accepted,
      );
      if (!isWritten) return;
    }
    await this.writeJson(
      MANIFEST_STATUS_KEY,
      status?.version ?? 0,
      judged.status,
    );
    this.log.writeInfo(
      judged.status.isAccepted
        ? 'A manifest was accepted.'
        : 'A manifest was refused.',
      {
        generation: judged.status.generation,
        faults: judged.status.faults.length,
      },
    );
  }

  private async writeJson(
    key: string,
    version: number,
    json: unknown,
  ): Promise<boolean> {
    const value = Buffer.from(JSON.stringify(json));
    const written = await this.store.updateObject(key, version, value)();
    if (E.isRight(written)) {
      this.view.applyObject({key, version: written.right, value});
      return true;
    }
    this.log.writeWarning('An object was not written.', {
      key,
      reason: written.left.text,
    });
    await this.refreshObject(key);
    return false;
  }

  private async refreshObject(key: string): Promise<void> {
    const read = await this.store.getObject(key)();
    if (E.isRight(read) && read.right !== undefined)
      this.view.applyObject(read.right);
  }

  private async placeService(
    service: ServiceName,
    rules: ServiceRules,
  ): Promise<boolean> {
    const present = this.view.getAssignment(service);
    // The update is conditional on the assignment alone; what else decides must be as new.
    if (!this.view.isComplete(present?.version ?? 0)) return true;
    const eligible = this.getEligible(service);
    if (present === undefined && !this.isFirstPlacementDue(service, eligible))
      return false;
    const released = this.collectReleases(service, present);
    const next = this.planner.plan({
      service,
      writer: this.getSelf(),
      present: present?.assignment,
      eligible,
      isEnded: member => this.view.isEnded(member),
      getFollower: member => this.view.getFollower(member),
      getVoidToken: ({host}) => this.view.getVoidToken(host, service),
      released,
      slicesPerServer: rules.slicesPerServer,
    });
    if (next !== undefined) {
      await this.writeAssignment({
        assignment: next,
        version: present?.version ?? 0,
      });
    }
    const slices = next?.slices ?? present?.assignment.slices ?? [];
    return slices.some(slice => slice.nextOwner !== undefined);
  }

  private isFirstPlacementDue(
    service: ServiceName,
    eligible: readonly Member[],
  ): boolean {
    if (eligible.length === 0) return false;
    const nowMs = this.system.getNow().monotonicMs;
    const firstSeenMs = this.firstSeenMs.get(service) ?? nowMs;
    this.firstSeenMs.set(service, firstSeenMs);
    return nowMs - firstSeenMs >= FIRST_PLACEMENT_DELAY_MS;
  }

  private getEligible(service: ServiceName): readonly Member[] {
    return this.view
      .getLiveSessions()
      .filter(
        session =>
          !session.isLeaving && !this.view.isDraining(session.member.host),
      )
      .filter(session =>
        session.servers.some(
          server => server.service === service && !server.isLeaving,
        ),
      )
      .map(session => session.member)
      .sort((a, b) => (formatMember(a) < formatMember(b) ? -1 : 1));
  }

  private async writeAssignment(next: VersionedAssignment): Promise<void> {
    const {assignment, version} = next;
    const key = getAssignmentKey(assignment.service);
    const value = encodeAssignment(assignment);
    const written = await this.store.updateObject(key, version, value)();
    if (E.isRight(written)) {
      this.view.applyObject({key, version: written.right, value});
      this.log.writeInfo(
        'An assignment was written.',
        this.planner.formatSummary(assignment),
      );
      return;
    }
    this.log.writeWarning('An assignment was not written.', {
      service: assignment.service,
      reason: written.left.text,
    });
    await this.refreshObject(key);
  }

  /** Returns what was released so far, and asks for the rest without waiting for answers. */
  private collectReleases(
    service: ServiceName,
    present: VersionedAssignment | undefined,
  ): readonly SliceRef[] {
    const moves = groupMoves(present?.assignment.slices ?? []);
    for (const move of moves) {
      const name = formatMove(service, move);
      if (this.releasing.has(name) || this.released.has(name)) continue;
      this.releasing.add(name);
      void this.askForRelease(service, move).then(refs => {
        this.releasing.delete(name);
        if (refs.length > 0) this.released.set(name, refs);
        this.wake();
      });
    }
    return moves.flatMap(move => this.takeReleased(formatMove(service, move)));
  }

  private takeReleased(name: string): readonly SliceRef[] {
    const refs = this.released.get(name) ?? [];
    this.released.delete(name);
    return refs;
  }

  private async askForRelease(
    service: ServiceName,
    move: Move,
  ): Promise<readonly SliceRef[]> {
    const {owner, nextOwner, refs} = move;
    if (this.view.isEnded(owner)) return [];
    if (isSameMember(owner, this.getSelf())) {
      return this.releaseLocally(service, owner, nextOwner, refs);
    }
    const address = this.view.getSession(owner.host)?.session.peerAddress;
    if (address === undefined) return [];
    const slices = refs.map(ref => ({
      start: ref.start,
      token: BigInt(ref.token),
      end: BigInt(ref.end ?? 0),
    }));
    try {
      const client = this.peers.getClient(address);
      const answer = await client.releaseSlices({
        service,
        owner,
        nextOwner,
        slices,
      });
      return answer.released.map(ref => ({
        start: ref.start,
        token: Number(ref.token),
        ...(ref.handover === '' ? {} : {handover: ref.handover}),
      }));
    } catch (error) {
      this.log.writeDebug('An owner did not release.', {reason: String(error)});
      await waitFor(this.system, MOVING_INTERVAL_MS);
      return [];
    }
  }
}

interface Move {
  readonly owner: Member;
  readonly nextOwner: Member;
  readonly refs: readonly SliceRef[];
}

function formatMove(service: ServiceName, move: Move): string {
  const {owner, nextOwner} = move;
  return `${service} ${formatMember(owner)} ${formatMember(nextOwner)}`;
}

/** Groups the slices on the move by owner and next owner. */
function groupMoves(slices: readonly Slice[]): readonly Move[] {
  const moves = new Map<string, Move>();
  for (const [index, {start, token, owner, nextOwner}] of slices.entries()) {
    if (owner === undefined || nextOwner === undefined) continue;
    const name = `${formatMember(owner)} ${formatMember(nextOwner)}`;
    const end = getSliceEnd(slices, index);
    const refs = [...(moves.get(name)?.refs ?? []), {start, token, end}];
    moves.set(name, {owner, nextOwner, refs});
  }
  return [...moves.values()];
}
