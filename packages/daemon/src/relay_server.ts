/**
 * The sending side of a relay: streams the objects of this daemon's view and then every change to each
 * follower. Changes that arrive faster than a follower reads are coalesced by key, so the state per
 * follower is bounded by the number of objects.
 */
import {create, toBinary} from '@bufbuild/protobuf';

import {type System, waitFor} from '@dottereldrift/core/system.js';
import {ASSIGNMENT_PREFIX} from '@dottereldrift/ownership/assignment_record.js';
import type {
  Assignment,
  VersionedAssignment,
} from '@dottereldrift/ownership/types.js';
import {
  type AssignmentDiffRecord,
  AssignmentDiffRecordSchema,
  type FollowObjectsResponse,
  FollowObjectsResponseSchema,
  type ObjectRecord,
} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';
import {isOfCurrentEra} from '@dottereldrift/store/version.js';

import {ENVELOPE_BYTES, type ControlCounters} from './control_counters.js';
import {encodeDiff, encodeObject} from './relay_codec.js';
import type {StoreView} from './store_view.js';

/** Interval of messages to a follower while nothing changes. */
export const RELAY_HEARTBEAT_MS = 1_000;

/** The difference between two assignments as it is sent. */
interface EncodedDiff {
  readonly before: Assignment;
  readonly current: VersionedAssignment;
  readonly record: AssignmentDiffRecord;
  readonly byteLength: number;
}

/** Streams the view to followers. */
export class RelayServer {
  private readonly followers = new Set<Follower>();
  /** The last diff that was encoded; followers that were sent the same assignment share it. */
  private lastDiff: EncodedDiff | undefined;
  private isStopped = false;

  constructor(
    private readonly system: System,
    private readonly view: StoreView,
    private readonly counters: ControlCounters,
  ) {}

  /** Streams objects newer than a revision until the follower disconnects or this daemon stops. */
  async *serveFollower(
    revision: number,
    signal: AbortSignal,
  ): AsyncGenerator<FollowObjectsResponse> {
    const follower = new Follower(this.system);
    const removeListener = this.view.addChangeListener(key => {
      follower.addKey(key);
    });
    const wakeFollower = () => {
      follower.wake();
    };
    signal.addEventListener('abort', wakeFollower, {once: true});
    this.followers.add(follower);
    try {
      yield this.countSentBytes(this.createInitialResponse(follower, revision));
      while (!this.isStopped && !signal.aborted) {
        await follower.waitForKeys(RELAY_HEARTBEAT_MS);
        if (this.isStopped || signal.aborted) return;
        yield this.countSentBytes(this.createUpdate(follower));
      }
    } finally {
      removeListener();
      signal.removeEventListener('abort', wakeFollower);
      this.followers.delete(follower);
    }
  }

  getFollowerCount(): number {
    return this.followers.size;
  }

  /** Ends all streams. */
  stop(): void {
    this.isStopped = true;
    for (const follower of this.followers) follower.wake();
  }

  private createInitialResponse(
    follower: Follower,
    revision: number,
  ): FollowObjectsResponse {
    const keys = this.view.listKeys();
    // Values from before the store was restored may be unknown to the follower although it has read the store since.
    const newerKeys = keys.filter(
      key =>
        this.view.getKnownVersion(key) > revision ||
        !this.view.isCurrent(key, revision),
    );
    return this.createResponse(follower, newerKeys, keys);
  }

  private createUpdate(follower: Follower): FollowObjectsResponse {
    return this.createResponse(follower, follower.takeKeys(), []);
  }

  private createResponse(
    follower: Follower,
    keys: readonly string[],
    presentKeys: readonly string[],
  ): FollowObjectsResponse {
    const diffs: AssignmentDiffRecord[] = [];
    const objects: ObjectRecord[] = [];
    for (const key of keys) {
      const diff = this.tryCreateDiff(follower, key);
      if (diff === undefined) objects.push(this.createRecord(key));
      else diffs.push(diff);
    }
    return create(FollowObjectsResponseSchema, {
      revision: BigInt(Math.max(0, this.view.getRevision())),
      storeSilenceMs: Math.min(this.view.getSilenceMs(), Number.MAX_VALUE),
      objects,
      diffs,
      presentKeys: [...presentKeys],
    });
  }

  private createRecord(key: string): ObjectRecord {
    return encodeObject(
      key,
      this.view.getObject(key),
      this.view.getDeletionVersion(key),
    );
  }

  /** Returns the diff to the assignment that the follower was last sent; undefined if there is none. */
  private tryCreateDiff(
    follower: Follower,
    key: string,
  ): AssignmentDiffRecord | undefined {
    if (!key.startsWith(ASSIGNMENT_PREFIX)) return undefined;
    const service = key.slice(ASSIGNMENT_PREFIX.length);
    const current = this.view.getAssignment(service);
    if (current === undefined) return undefined;
    const before = follower.recordSent(service, current.assignment);
    return before && isOfCurrentEra(current)
      ? this.getDiff(before, current).record
      : undefined;
  }

  private getDiff(
    before: Assignment,
    current: VersionedAssignment,
  ): EncodedDiff {
    const {lastDiff} = this;
    if (lastDiff?.before === before && lastDiff.current === current)
      return lastDiff;
    const record = encodeDiff(before, current);
    const {byteLength} = toBinary(AssignmentDiffRecordSchema, record);
    this.lastDiff = {before, current, record, byteLength};
    return this.lastDiff;
  }

  private countSentBytes(
    response: FollowObjectsResponse,
  ): FollowObjectsResponse {
    this.counters.relayBytesSent += this.countBytes(response) + ENVELOPE_BYTES;
    return response;
  }

  /** Returns the encoded size of a response, without encoding a shared diff again. */
  private countBytes(response: FollowObjectsResponse): number {
    const {lastDiff} = this;
    const [diff] = response.diffs;
    if (lastDiff === undefined || diff !== lastDiff.record)
      return toBinary(FollowObjectsResponseSchema, response).byteLength;
    const diffs = response.diffs.slice(1);
    const rest = create(FollowObjectsResponseSchema, {...response, diffs});
    const restBytes = toBinary(FollowObjectsResponseSchema, rest).byteLength;
    return restBytes + lastDiff.byteLength;
  }
}

/** Pending keys and last sent assignments of one follower. */
class Follower {
  private readonly pendingKeys = new Set<string>();
  private readonly lastSent = new Map<string, Assignment>();
  private onWake: () => void = () => {};

  constructor(private readonly system: System) {}

  addKey(key: string): void {
    this.pendingKeys.add(key);
    this.wake();
  }

  takeKeys(): readonly string[] {
    const keys = [...this.pendingKeys];
    this.pendingKeys.clear();
    return keys;
  }

  /** Records the assignment that is sent now and returns the one that was sent before. */
  recordSent(service: string, next: Assignment): Assignment | undefined {
    const before = this.lastSent.get(service);
    this.lastSent.set(service, next);
    return before;
  }

  async waitForKeys(limitMs: number): Promise<void> {
    if (this.pendingKeys.size > 0) return;
    await new Promise<void>(resolve => {
      const cancel = this.system.startTimer(limitMs, resolve);
      this.onWake = () => {
        cancel();
        resolve();
      };
    });
    // Yields once, so that changes from the same event are sent in one message.
    await waitFor(this.system, 0);
  }

  wake(): void {
    this.onWake();
  }
}
