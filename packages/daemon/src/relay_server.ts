/**
 * The sending side of a relay: every daemon sends what it knows of the store, and then every change,
 * to whoever asks. Changes that come faster than a follower reads are joined, so that what is kept
 * for a follower is bounded by the number of objects.
 */
import {create, toBinary} from '@bufbuild/protobuf';

import {type System, waitFor} from '@dottereldrift/core/system.js';
import {ASSIGNMENT_PREFIX} from '@dottereldrift/ownership/assignment_record.js';
import type {Assignment} from '@dottereldrift/ownership/types.js';
import {
  type AssignmentDiffRecord,
  type FollowObjectsResponse,
  FollowObjectsResponseSchema,
  type ObjectRecord,
  ObjectRecordSchema,
} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';

import {ENVELOPE_BYTES, type ControlCounters} from './control_counters.js';
import {encodeDiff} from './relay_codec.js';
import type {StoreView} from './store_view.js';

/** Time between two messages to a follower when nothing changes. */
export const RELAY_HEARTBEAT_MS = 1_000;

/** Sends the view to followers. */
export class RelayServer {
  private readonly followers = new Set<Follower>();
  private isStopped = false;

  constructor(
    private readonly system: System,
    private readonly view: StoreView,
    private readonly counters: ControlCounters,
  ) {}

  /** Sends until the follower leaves or this daemon stops. */
  async *serveFollower(
    revision: number,
    abandoned: AbortSignal,
  ): AsyncGenerator<FollowObjectsResponse> {
    const follower = new Follower(this.system);
    const removeListener = this.view.addChangeListener(key => {
      follower.addKey(key);
    });
    const leave = () => {
      follower.wake();
    };
    abandoned.addEventListener('abort', leave, {once: true});
    this.followers.add(follower);
    try {
      yield this.count(this.createFirst(follower, revision));
      while (!this.isStopped && !abandoned.aborted) {
        await follower.waitForKeys(RELAY_HEARTBEAT_MS);
        if (this.isStopped || abandoned.aborted) return;
        yield this.count(this.createNext(follower));
      }
    } finally {
      removeListener();
      abandoned.removeEventListener('abort', leave);
      this.followers.delete(follower);
    }
  }

  getFollowerCount(): number {
    return this.followers.size;
  }

  /** Ends every stream. */
  stop(): void {
    this.isStopped = true;
    for (const follower of this.followers) follower.wake();
  }

  private createFirst(
    follower: Follower,
    revision: number,
  ): FollowObjectsResponse {
    const keys = this.view.listKeys();
    const wanted = keys.filter(
      key => this.view.getKnownVersion(key) > revision,
    );
    return this.createResponse(follower, wanted, keys);
  }

  private createNext(follower: Follower): FollowObjectsResponse {
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
    const object = this.view.getObject(key);
    return create(ObjectRecordSchema, {
      key,
      version: BigInt(object?.version ?? this.view.getDeletionVersion(key)),
      value: object?.value ?? new Uint8Array(),
      deleted: object === undefined,
    });
  }

  /** Returns the difference to what the follower was last sent, if that is an assignment. */
  private tryCreateDiff(
    follower: Follower,
    key: string,
  ): AssignmentDiffRecord | undefined {
    if (!key.startsWith(ASSIGNMENT_PREFIX)) return undefined;
    const service = key.slice(ASSIGNMENT_PREFIX.length);
    const present = this.view.getAssignment(service);
    if (present === undefined) return undefined;
    const before = follower.takeSent(service, present.assignment);
    return before && encodeDiff(before, present);
  }

  private count(response: FollowObjectsResponse): FollowObjectsResponse {
    const bytes = toBinary(FollowObjectsResponseSchema, response).byteLength;
    this.counters.relayBytesSent += bytes + ENVELOPE_BYTES;
    return response;
  }
}

/** What is to be sent to one follower. */
class Follower {
  private readonly keys = new Set<string>();
  private readonly sent = new Map<string, Assignment>();
  private onWake: () => void = () => {};

  constructor(private readonly system: System) {}

  addKey(key: string): void {
    this.keys.add(key);
    this.wake();
  }

  takeKeys(): readonly string[] {
    const keys = [...this.keys];
    this.keys.clear();
    return keys;
  }

  /** Returns the generation that was sent last, and notes the one that is sent now. */
  takeSent(service: string, next: Assignment): Assignment | undefined {
    const before = this.sent.get(service);
    this.sent.set(service, next);
    return before;
  }

  async waitForKeys(limitMs: number): Promise<void> {
    if (this.keys.size > 0) return;
    await new Promise<void>(resolve => {
      const cancel = this.system.startTimer(limitMs, resolve);
      this.onWake = () => {
        cancel();
        resolve();
      };
    });
    // Changes that come together go out together.
    await waitFor(this.system, 0);
  }

  wake(): void {
    this.onWake();
  }
}
