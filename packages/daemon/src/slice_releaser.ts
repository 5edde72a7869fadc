/**
 * The current owner's part of a planned move. It stops admission to the slices, returns their
 * queued requests, waits until none is running, revokes the server's grant and hands the records
 * over; only then does it report the slices as released. A slice with a running request does not
 * delay other slices.
 */
import type {Log} from '@dottereldrift/core/log.js';
import {formatMember, isSameMember} from '@dottereldrift/core/member.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';
import type {Member, ServiceName} from '@dottereldrift/core/types.js';
import type {SliceRef} from '@dottereldrift/ownership/types.js';

import {encodeIdempotencyEntry} from './idempotency_entry_codec.js';
import type {Owner} from './owner.js';
import {type PeerClients, PEER_CALL_TIMEOUT_MS} from './peer_client.js';
import type {ServerRegistry} from './server_registry.js';
import type {StoreView} from './store_view.js';

const POLL_INTERVAL_MS = 10;
const MAX_WAIT_MS = PEER_CALL_TIMEOUT_MS / 2;

/** Releases slices owned by this daemon. */
export class SliceReleaser {
  constructor(
    private readonly system: System,
    private readonly view: StoreView,
    private readonly owner: Owner,
    private readonly registry: ServerRegistry,
    private readonly peers: PeerClients,
    private readonly log: Log,
  ) {}

  /**
   * Stops admission and returns the slices that are idle. If none is idle, waits until at least one
   * is or the time limit is reached.
   */
  async release(
    service: ServiceName,
    owner: Member,
    nextOwner: Member,
    refs: readonly SliceRef[],
  ): Promise<readonly SliceRef[]> {
    const isGrantedByHeartbeat = this.registry.isGrantingByHeartbeat(service);
    const release = () => {
      const uncut = this.owner.filterUnchanged(service, refs);
      return isGrantedByHeartbeat
        ? this.releaseByHeartbeat(service, owner, uncut)
        : this.owner.releaseSlices(service, owner, uncut);
    };
    const endMs = this.system.getNow().monotonicMs + MAX_WAIT_MS;
    let idle = release();
    while (idle.length === 0 && this.system.getNow().monotonicMs < endMs) {
      await waitFor(this.system, POLL_INTERVAL_MS);
      idle = release();
    }
    if (idle.length === 0) return [];
    if (!isGrantedByHeartbeat && !(await this.registry.tryRevoke(service)))
      return [];
    if (!(await this.tryHandOver(service, nextOwner, idle))) return [];
    this.writeRelease(service, nextOwner, idle);
    return idle;
  }

  /** Lists the slices that this daemon has released, or was asked to release, under their present tokens. */
  listReleases(service: ServiceName): readonly SliceRef[] {
    const requested = this.registry.listRequestedReleases(service);
    const released = this.owner.getReleasedSlices(service);
    return [...requested, ...released].map(({start, token}) => ({
      start,
      token,
    }));
  }

  private writeRelease(
    service: ServiceName,
    nextOwner: Member,
    refs: readonly SliceRef[],
  ): void {
    this.log.writeInfo('Slices were released.', {
      service,
      nextOwner: formatMember(nextOwner),
      slices: refs.map(({start, token}) => `${start}/${token}`).join(' '),
      generation: this.owner.getAssignment(service)?.generation ?? 0,
      // 0 when the server's grants have expired; otherwise the server has confirmed the release.
      grantLeftMs: Math.round(this.registry.getGrantLeftMs(service)),
    });
  }

  /**
   * Requests the release at the server's next heartbeat. Requests are admitted until then, because
   * stopping earlier would leave the keys unavailable while the heartbeat is awaited.
   */
  private releaseByHeartbeat(
    service: ServiceName,
    owner: Member,
    refs: readonly SliceRef[],
  ): readonly SliceRef[] {
    if (!this.owner.isCurrentMember(owner)) return [];
    return this.registry.releaseSlices(service, refs, due => {
      this.owner.releaseSlices(service, owner, due);
    });
  }

  private async tryHandOver(
    service: ServiceName,
    nextOwner: Member,
    refs: readonly SliceRef[],
  ): Promise<boolean> {
    const entries = this.owner.getIdempotencyEntries(service, refs);
    if (entries.length === 0) return true;
    const session = this.view.getSession(nextOwner.host)?.session;
    if (session === undefined || !isSameMember(session.member, nextOwner))
      return false;
    const nowMs = this.system.getNow().monotonicMs;
    const encoded = entries.map(entry =>
      encodeIdempotencyEntry(service, entry, nowMs),
    );
    try {
      const client = this.peers.getClient(session.peerAddress);
      const answer = await client.handOverEntries({
        service,
        nextOwner,
        entries: encoded,
      });
      return answer.accepted;
    } catch (error) {
      this.log.writeWarning('The records could not be handed over.', {
        reason: String(error),
      });
      return false;
    }
  }
}
