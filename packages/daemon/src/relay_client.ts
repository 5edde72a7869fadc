/**
 * The receiving side of a relay: applies the object stream of another daemon to the view until the
 * stream ends, times out or no longer meets the caller's condition.
 */
import {toBinary} from '@bufbuild/protobuf';

import type {Log} from '@dottereldrift/core/log.js';
import type {System} from '@dottereldrift/core/system.js';
import type {Address} from '@dottereldrift/core/types.js';
import {ASSIGNMENT_PREFIX} from '@dottereldrift/ownership/assignment_record.js';
import {
  type FollowObjectsResponse,
  FollowObjectsResponseSchema,
} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';
import {getEra} from '@dottereldrift/store/version.js';

import {ENVELOPE_BYTES, type ControlCounters} from './control_counters.js';
import type {PeerClients} from './peer_client.js';
import {parseObject, tryApplyDiff} from './relay_codec.js';
import type {StoreView} from './store_view.js';

/** Time without a message after which a stream is closed. */
export const RELAY_SILENCE_MS = 2_000;

/** Decides after each message whether to keep the stream open. */
export type FollowCondition = (response: FollowObjectsResponse) => boolean;

/** Updates the view from the object streams of other daemons. */
export class RelayClient {
  constructor(
    private readonly system: System,
    private readonly view: StoreView,
    private readonly peers: Pick<PeerClients, 'getClient'>,
    private readonly counters: ControlCounters,
    private readonly log: Log,
  ) {}

  /** Follows a daemon until its stream ends; returns the number of messages received. */
  async followDaemon(
    address: Address,
    mayContinue: FollowCondition,
    firstMessageTimeoutMs = RELAY_SILENCE_MS,
  ): Promise<number> {
    const controller = new AbortController();
    let messages = 0;
    let cancelTimer = this.startSilenceTimer(controller, firstMessageTimeoutMs);
    try {
      const stream = this.peers
        .getClient(address)
        .followObjects(
          {revision: BigInt(Math.max(0, this.view.getRevision()))},
          {timeoutMs: 0, signal: controller.signal},
        );
      for await (const response of stream) {
        cancelTimer();
        messages += 1;
        if (!this.tryApply(response) || !mayContinue(response)) break;
        cancelTimer = this.startSilenceTimer(controller);
      }
    } catch (error) {
      this.log.writeDebug('The stream from a relay failed.', {
        reason: String(error),
      });
    } finally {
      cancelTimer();
      controller.abort();
    }
    return messages;
  }

  /** Returns whether the sender has not noticed yet that the store was restored. */
  isOfEarlierEra({revision}: FollowObjectsResponse): boolean {
    return getEra(Number(revision)) < this.view.getEra();
  }

  private startSilenceTimer(
    controller: AbortController,
    silenceMs = RELAY_SILENCE_MS,
  ): () => void {
    return this.system.startTimer(silenceMs, () => {
      controller.abort();
    });
  }

  /** Applies a message; returns false if a diff has an unknown base, so that the full object is needed. */
  private tryApply(response: FollowObjectsResponse): boolean {
    const bytes = toBinary(FollowObjectsResponseSchema, response).byteLength;
    this.counters.relayBytesReceived += bytes + ENVELOPE_BYTES;
    const objects = response.objects.map(record => ({
      object: parseObject(record),
      isDeleted: record.deleted,
    }));
    const written = objects.filter(({isDeleted}) => !isDeleted);
    this.view.applyObjects(written.map(({object}) => object));
    for (const {object, isDeleted} of objects) {
      if (isDeleted) this.view.removeObject(object.key, object.version);
    }
    const hasAppliedDiffs = response.diffs.every(record => {
      if (this.view.getKnownVersion(record.key) >= Number(record.version))
        return true;
      const service = record.key.slice(ASSIGNMENT_PREFIX.length);
      const before = this.view.getAssignment(service)?.assignment;
      const entry = tryApplyDiff(before, record);
      if (entry !== undefined) this.view.applyAssignment(entry);
      return entry !== undefined;
    });
    if (!hasAppliedDiffs) return false;
    this.applyRevision(response);
    return true;
  }

  private applyRevision(response: FollowObjectsResponse): void {
    const revision = Number(response.revision);
    if (this.isOfEarlierEra(response)) return;
    const isOlder = revision < this.view.getRevision();
    if (response.presentKeys.length > 0 && !isOlder)
      this.view.removeUnlisted(response.presentKeys, revision);
    if (revision > 0) this.view.setRevision(revision);
    this.view.recordContact(response.storeSilenceMs);
  }
}
