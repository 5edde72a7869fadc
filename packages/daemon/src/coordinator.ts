/**
 * The coordinator role of a daemon: decides the placement of the services for which this daemon is
 * chosen, executes planned moves and validates submitted manifests. Decisions take effect only through
 * conditional updates of the store, so it is safe for two coordinators to be active at once.
 */
import * as E from 'fp-ts/lib/Either.js';

import type {Log} from '@dottereldrift/core/log.js';
import {formatMember, isSameMember} from '@dottereldrift/core/member.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {Member, ServiceName} from '@dottereldrift/core/types.js';
import {evaluateManifest} from '@dottereldrift/manifest/acceptance.js';
import type {ServiceRules} from '@dottereldrift/manifest/types.js';
import {
  encodeAssignment,
  getAssignmentKey,
} from '@dottereldrift/ownership/assignment_record.js';
import {chooseCoordinator} from '@dottereldrift/ownership/coordinator_choice.js';
import {getSliceEnd} from '@dottereldrift/ownership/slices.js';
import type {
  Assignment,
  Slice,
  SliceRef,
  VersionedAssignment,
} from '@dottereldrift/ownership/types.js';
import type {ObjectStore, StoreFailure} from '@dottereldrift/store/types.js';
import {getExpectedVersion} from '@dottereldrift/store/version.js';

import type {AssignmentRecovery} from './assignment_recovery.js';
import type {PeerClients} from './peer_client.js';
import type {PlacementPlanner} from './placement_planner.js';
import {
  ACCEPTED_MANIFEST_KEY,
  MANIFEST_STATUS_KEY,
  type StoreView,
} from './store_view.js';

const IDLE_POLL_INTERVAL_MS = 500;
/** Owners that release slices wake the coordinator; it plans in between only by new load reports. */
const MOVE_POLL_INTERVAL_MS = 100;
const RETRY_INTERVAL_MS = 20;
/** Delay after the first of successive failed writes to the store; it doubles with each further one. */
const FIRST_WRITE_RETRY_MS = 100;
const MAX_WRITE_RETRY_MS = 1_000;
/** Lets daemons that start together register before slices are first assigned. */
const FIRST_PLACEMENT_DELAY_MS = 1_000;
const CONFIGURATION_SUBJECT = 'configuration';

/** Releases slices that this daemon itself owns, for a move to the next owner. */
export type LocalRelease = (
  service: ServiceName,
  owner: Member,
  nextOwner: Member,
  refs: readonly SliceRef[],
) => Promise<readonly SliceRef[]>;

/** Runs the coordinator role of this daemon. */
export class Coordinator {
  private isStopped = false;
  private readonly firstSeenMs = new Map<ServiceName, number>();
  /** Moves whose owner has been asked to release slices and has not answered yet. */
  private readonly requestedMoves = new Set<string>();
  /** Released slices that have not been passed to the planner yet, by move. */
  private readonly releasedByMove = new Map<string, readonly SliceRef[]>();
  private wake: () => void = () => {};
  private hasChanged = false;
  /** Successive writes that the store did not answer or refused for another reason than a conflict. */
  private failedWrites = 0;
  private writesPausedUntilMs = -Infinity;

  constructor(
    private readonly system: System,
    private readonly store: ObjectStore,
    private readonly view: StoreView,
    private readonly peers: PeerClients,
    private readonly getSelf: () => Member,
    private readonly isActive: () => boolean,
    private readonly releaseLocally: LocalRelease,
    private readonly planner: PlacementPlanner,
    private readonly recovery: AssignmentRecovery,
    private readonly log: Log,
  ) {}

  /** Makes decisions until stopped. */
  async run(): Promise<void> {
    this.view.addListener(() => {
      this.hasChanged = true;
      this.wake();
    });
    while (!this.isStopped) {
      this.hasChanged = false;
      const hasMoves = await this.runOnce();
      const pollMs = hasMoves ? MOVE_POLL_INTERVAL_MS : IDLE_POLL_INTERVAL_MS;
      // A change that arrived during the decision found no waiter to wake.
      await this.waitForChange(this.hasChanged ? RETRY_INTERVAL_MS : pollMs);
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
    if (!this.isActive() || this.isPaused()) return false;
    const live = this.view.getLiveMembers();
    if (this.isChosenCoordinator(CONFIGURATION_SUBJECT, live))
      await this.handleSubmittedManifest();
    const services = Object.entries(
      this.view.getManifest()?.manifest.services ?? {},
    );
    let hasMoves = false;
    for (const [service, rules] of services) {
      if (rules.slicesPerServer === 0) continue;
      if (!this.isChosenCoordinator(service, live)) continue;
      hasMoves = (await this.placeService(service, rules)) || hasMoves;
    }
    return hasMoves;
  }

  private isChosenCoordinator(
    subject: string,
    live: readonly Member[],
  ): boolean {
    const chosen = chooseCoordinator(subject, live);
    return chosen !== undefined && isSameMember(chosen, this.getSelf());
  }

  private async handleSubmittedManifest(): Promise<void> {
    const submitted = this.view.getSubmitted();
    const status = this.view.getStatus();
    if (submitted === undefined) return;
    const text = Buffer.from(submitted.value).toString('utf8');
    const decision = evaluateManifest(
      {text, version: submitted.version},
      this.view.getManifest(),
      status?.value,
    );
    if (decision === undefined) return;
    if (decision.accepted !== undefined) {
      const isWritten = await this.tryWriteJson(
        ACCEPTED_MANIFEST_KEY,
        this.view.getAcceptedVersion(),
        decision.accepted,
      );
      if (!isWritten) return;
    }
    await this.tryWriteJson(
      MANIFEST_STATUS_KEY,
      getExpectedVersion(this.view.getObject(MANIFEST_STATUS_KEY)),
      decision.status,
    );
    this.log.writeInfo(
      decision.status.isAccepted
        ? 'A manifest was accepted.'
        : 'A manifest was refused.',
      {
        generation: decision.status.generation,
        faults: decision.status.faults.length,
      },
    );
  }

  private async tryWriteJson(
    key: string,
    version: number,
    json: unknown,
  ): Promise<boolean> {
    const value = Buffer.from(JSON.stringify(json));
    const written = await this.store.updateObject(key, version, value)();
    if (E.isRight(written)) {
      this.failedWrites = 0;
      this.view.applyObject({key, version: written.right, value});
      return true;
    }
    this.log.writeWarning('Failed to write an object to the store.', {
      key,
      reason: written.left.text,
    });
    await this.handleFailedWrite(key, written.left);
    return false;
  }

  private isPaused(): boolean {
    return this.system.getNow().monotonicMs < this.writesPausedUntilMs;
  }

  /** Reads an object that was changed by another writer. Pauses after any other failure. */
  private async handleFailedWrite(
    key: string,
    {kind}: StoreFailure,
  ): Promise<void> {
    if (kind !== 'conflict') {
      const delayMs = Math.min(
        MAX_WRITE_RETRY_MS,
        FIRST_WRITE_RETRY_MS * 2 ** Math.min(this.failedWrites, 10),
      );
      this.failedWrites += 1;
      this.writesPausedUntilMs = this.system.getNow().monotonicMs + delayMs;
    }
    // A write without an effect leaves nothing new to read.
    if (kind === 'conflict' || kind === 'unknown')
      await this.refreshObject(key);
  }

  private async refreshObject(key: string): Promise<void> {
    const read = await this.store.getObject(key)();
    if (E.isRight(read)) this.view.applyRead(key, read.right);
  }

  private async placeService(
    service: ServiceName,
    rules: ServiceRules,
  ): Promise<boolean> {
    const current = this.view.getAssignment(service);
    // The update is conditional on the version of the assignment only, so the other inputs of the
    // decision, such as sessions, must be at least as recent as the assignment.
    if (!this.view.isComplete(current?.version ?? 0)) return true;
    const eligible = this.listEligibleMembers(service);
    const isDue =
      current !== undefined || this.isFirstPlacementDue(service, eligible);
    if (this.recovery.isNeeded(service)) return this.continueRecovery(service);
    this.recovery.finish(service);
    if (!isDue) return false;
    const releasedSlices = this.collectReleases(service, current);
    const next = this.planner.plan({
      service,
      writer: this.getSelf(),
      present: current?.assignment,
      eligible,
      isEnded: member => this.isEnded(member),
      getSuccessor: member => this.view.getSuccessor(member),
      getVoidToken: ({host}) => this.view.getVoidToken(host, service),
      released: releasedSlices,
      slicesPerServer: rules.slicesPerServer,
      lastGeneration: this.recovery.getLastGeneration(service),
    });
    if (next !== undefined) await this.writeAssignment(next, current);
    const slices = next?.slices ?? current?.assignment.slices ?? [];
    return slices.some(slice => slice.nextOwner !== undefined);
  }

  /**
   * Writes the assignment that was written last before the store was restored, once it is known. Returns whether to
   * look again soon.
   */
  private async continueRecovery(service: ServiceName): Promise<boolean> {
    const decision = this.recovery.continueRecovery(service, () => {
      this.hasChanged = true;
      this.wake();
    });
    if (decision.kind !== 'write') return true;
    const {assignment} = decision;
    await this.writeAssignment(assignment, this.view.getAssignment(service));
    if (!this.recovery.isNeeded(service)) this.recovery.finish(service);
    return true;
  }

  /**
   * Returns whether a member has ended. A session that this daemon read only after the store was restored may be older
   * than the one of the member; it proves the end only of the member that it names.
   */
  private isEnded(member: Member): boolean {
    const entry = this.view.getSession(member.host);
    const isNamed =
      entry !== undefined && isSameMember(entry.session.member, member);
    return (
      this.view.isEnded(member) && (isNamed || !this.view.isUncertain(entry))
    );
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

  private listEligibleMembers(service: ServiceName): readonly Member[] {
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

  /** Writes an assignment in place of the present one. */
  private async writeAssignment(
    assignment: Assignment,
    present: VersionedAssignment | undefined,
  ): Promise<void> {
    const key = getAssignmentKey(assignment.service);
    const version = getExpectedVersion(present);
    const value = encodeAssignment(assignment);
    const written = await this.store.updateObject(key, version, value)();
    if (E.isRight(written)) {
      this.failedWrites = 0;
      this.view.applyObject({key, version: written.right, value});
      this.log.writeInfo(
        'An assignment was written.',
        this.planner.formatSummary(assignment),
      );
      return;
    }
    this.log.writeWarning('Failed to write an assignment to the store.', {
      service: assignment.service,
      reason: written.left.text,
    });
    await this.handleFailedWrite(key, written.left);
  }

  /** Returns the slices released so far and requests the remaining ones without waiting for replies. */
  private collectReleases(
    service: ServiceName,
    current: VersionedAssignment | undefined,
  ): readonly SliceRef[] {
    const moves = groupMoves(current?.assignment.slices ?? []);
    for (const move of moves) {
      const name = formatMoveKey(service, move);
      if (this.requestedMoves.has(name) || this.releasedByMove.has(name))
        continue;
      this.requestedMoves.add(name);
      void this.requestRelease(service, move).then(refs => {
        this.requestedMoves.delete(name);
        if (refs.length > 0) this.releasedByMove.set(name, refs);
        this.hasChanged = true;
        this.wake();
      });
    }
    return moves.flatMap(move =>
      this.takeReleasedSlices(formatMoveKey(service, move)),
    );
  }

  private takeReleasedSlices(name: string): readonly SliceRef[] {
    const refs = this.releasedByMove.get(name) ?? [];
    this.releasedByMove.delete(name);
    return refs;
  }

  private async requestRelease(
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
      this.log.writeDebug('An owner failed to release slices.', {
        reason: String(error),
      });
      await waitFor(this.system, RETRY_INTERVAL_MS);
      return [];
    }
  }
}

interface Move {
  readonly owner: Member;
  readonly nextOwner: Member;
  readonly refs: readonly SliceRef[];
}

function formatMoveKey(service: ServiceName, move: Move): string {
  const {owner, nextOwner} = move;
  return `${service} ${formatMember(owner)} ${formatMember(nextOwner)}`;
}

/** Groups the slices that are being moved by owner and next owner. */
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
