/**
 * The receiving side of a relay: follows one other daemon until it is silent, lost or no longer close
 * to the store.
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

import {ENVELOPE_BYTES, type ControlCounters} from './control_counters.js';
import type {PeerClients} from './peer_client.js';
import {tryApplyDiff} from './relay_codec.js';
import type {StoreView} from './store_view.js';

/** Silence after which a relay is given up. */
export const RELAY_SILENCE_MS = 2_000;

/** Judges after each message whether to follow on; the stream ends when not. */
export type FollowRule = (response: FollowObjectsResponse) => boolean;

/** Follows other daemons. */
export class RelayClient {
  constructor(
    private readonly system: System,
    private readonly view: StoreView,
    private readonly peers: Pick<PeerClients, 'getClient'>,
    private readonly counters: ControlCounters,
    private readonly log: Log,
  ) {}

  /** Follows a daemon until the stream ends; returns the number of messages received. */
  async watchRelay(
    address: Address,
    mayGoOn: FollowRule,
    firstAnswerMs = RELAY_SILENCE_MS,
  ): Promise<number> {
    const controller = new AbortController();
    let messages = 0;
    let cancel = this.startSilenceTimer(controller, firstAnswerMs);
    try {
      const stream = this.peers
        .getClient(address)
        .followObjects(
          {revision: BigInt(Math.max(0, this.view.getRevision()))},
          {timeoutMs: 0, signal: controller.signal},
        );
      for await (const response of stream) {
        cancel();
        messages += 1;
        if (!this.tryApply(response) || !mayGoOn(response)) break;
        cancel = this.startSilenceTimer(controller);
      }
    } catch (error) {
      this.log.writeDebug('A relay is lost.', {reason: String(error)});
    } finally {
      cancel();
      controller.abort();
    }
    return messages;
  }

  private startSilenceTimer(
    controller: AbortController,
    silenceMs = RELAY_SILENCE_MS,
  ): () => void {
    return this.system.startTimer(silenceMs, () => {
      controller.abort();
    });
  }

  /** Returns false when a difference does not fit, so that the whole has to be asked for. */
  private tryApply(response: FollowObjectsResponse): boolean {
    const bytes = toBinary(FollowObjectsResponseSchema, response).byteLength;
    this.counters.relayBytesReceived += bytes + ENVELOPE_BYTES;
    const objects = response.objects.map(({key, version, value, deleted}) => ({
      object: {key, version: Number(version), value},
      isDeleted: deleted,
    }));
    const written = objects.filter(({isDeleted}) => !isDeleted);
    this.view.applyObjects(written.map(({object}) => object));
    for (const {object, isDeleted} of objects) {
      if (isDeleted) this.view.removeObject(object.key, object.version);
    }
    const isFitting = response.diffs.every(record => {
      if (this.view.getKnownVersion(record.key) >= Number(record.version))
        return true;
      const service = record.key.slice(ASSIGNMENT_PREFIX.length);
      const before = this.view.getAssignment(service)?.assignment;
      const entry = tryApplyDiff(before, record);
      if (entry !== undefined) this.view.applyAssignment(entry);
      return entry !== undefined;
    });
    if (!isFitting) return false;
    this.applyRevision(response);
    return true;
  }

  private applyRevision(response: FollowObjectsResponse): void {
    const revision = Number(response.revision);
    const isBehind = revision < this.view.getRevision();
    if (response.presentKeys.length > 0 && !isBehind)
      this.view.removeMissing(response.presentKeys, revision);
    if (revision > 0) this.view.setRevision(revision);
    this.view.recordContact(response.storeSilenceMs);
  }
}
