/**
 * Pushes grants to the backend server of one service. Tracks which generation the server has
 * acknowledged, until when it may run requests, and when every grant sent to it has expired.
 *
 * A server that checks grants runs nothing after the end that they name, by the clocks of the host
 * that it shares with its daemon. A server that does not answer is therefore fenced once its grants
 * have expired.
 */
import type {Dispatcher} from 'undici';

import type {Log} from '@dottereldrift/core/log.js';
import type {System} from '@dottereldrift/core/system.js';
import type {Instant, ServiceName} from '@dottereldrift/core/types.js';
import type {Slice} from '@dottereldrift/ownership/types.js';

import type {GrantTracker, GrantSource} from './grant_tracker.js';

/** Path prefix at which a server accepts grants; the service name follows. */
export const GRANT_PATH = '/dottereldrift/grants/';

const GRANT_TIMEOUT_MS = 1_000;
const CONNECTION_REFUSED = 'ECONNREFUSED';
const DISTANT_PAST: Instant = {monotonicMs: -Infinity, wallMs: -Infinity};

/** Sends and tracks the grants of one service. */
export class GrantSender implements GrantTracker {
  private acknowledgedGeneration = 0;
  private acknowledgedEnd = DISTANT_PAST;
  /** Latest end of all grants sent, whether acknowledged or not. */
  private latestEnd: Instant;
  /** Counters of full slice lists: the newest one requested and the newest one acknowledged. */
  private requestedLists = 0;
  private acknowledgedLists = 0;
  private unansweredSinceMs: number | undefined;
  private isStale = false;
  private sending: Promise<void> | undefined;

  constructor(
    private readonly service: ServiceName,
    private readonly system: System,
    private readonly source: GrantSource,
    private readonly onRefused: () => void,
    private readonly log: Log,
    /** Time by which the grants of the previous daemon process have expired. */
    previousGrantsEnd: Instant,
  ) {
    this.latestEnd = previousGrantsEnd;
  }

  /** Tells whether the server has acknowledged a slice and may still run requests for it. */
  isGranted(slice: Slice): boolean {
    const now = this.system.getNow();
    return (
      this.acknowledgedGeneration >= slice.token &&
      now.monotonicMs < this.acknowledgedEnd.monotonicMs &&
      now.wallMs < this.acknowledgedEnd.wallMs
    );
  }

  /** Returns the end of the newest grant that the server has acknowledged. */
  getAcknowledgedEnd(): Instant {
    return this.acknowledgedEnd;
  }

  /**
   * Tells whether every grant sent so far has expired, so that no server can start a request under
   * one.
   */
  hasLapsed(): boolean {
    return this.system.getNow().monotonicMs >= this.latestEnd.monotonicMs;
  }

  getLatestEndMs(): number {
    return this.latestEnd.monotonicMs;
  }

  /** Returns for how many milliseconds the server has left a grant unanswered. */
  getUnansweredMs(): number {
    if (this.unansweredSinceMs === undefined) return 0;
    return this.system.getNow().monotonicMs - this.unansweredSinceMs;
  }

  /** Discards what the server acknowledged, because it is gone or was replaced. */
  reset(): void {
    this.acknowledgedGeneration = 0;
    this.acknowledgedEnd = DISTANT_PAST;
    this.acknowledgedLists = 0;
    this.unansweredSinceMs = undefined;
  }

  dropGrants(): void {
    this.reset();
    this.latestEnd = DISTANT_PAST;
  }

  /** Sends the newest grant; only one request is in progress at a time. */
  send(server: Dispatcher): Promise<void> {
    this.isStale = true;
    this.sending ??= this.sendWhileStale(server).finally(() => {
      this.sending = undefined;
    });
    return this.sending;
  }

  /** Sends the full list of slices again; resolves to true if the server acknowledges it. */
  async tryConfirm(server: Dispatcher): Promise<boolean> {
    this.requestedLists += 1;
    const wanted = this.requestedLists;
    await this.send(server);
    return this.acknowledgedLists >= wanted;
  }

  private async sendWhileStale(server: Dispatcher): Promise<void> {
    while (this.isStale) {
      this.isStale = false;
      await this.trySend(server);
    }
  }

  private async trySend(server: Dispatcher): Promise<void> {
    const generation = this.source.getAssignment()?.generation ?? 0;
    if (generation === 0) return;
    const end = this.chooseEnd();
    const issuedAtMs = this.system.getNow().monotonicMs;
    if (end.monotonicMs <= issuedAtMs) return;
    const lists = this.requestedLists;
    const isRenewal =
      this.acknowledgedGeneration === generation &&
      this.acknowledgedLists >= lists;
    const slices = this.source.getSlices();
    const grant = {
      generation,
      issuedAtMonotonicMs: issuedAtMs,
      leaseEndUnixMs: Math.floor(end.wallMs),
      leaseEndMonotonicMs: Math.floor(end.monotonicMs),
      ...(isRenewal
        ? {}
        : {slices: slices.map(slice => [slice.start, slice.token])}),
    };
    if (end.monotonicMs > this.latestEnd.monotonicMs) this.latestEnd = end;
    this.unansweredSinceMs ??= issuedAtMs;
    try {
      const status = await this.putGrant(server, JSON.stringify(grant));
      this.unansweredSinceMs = undefined;
      if (status >= 300) {
        this.reset();
        this.isStale ||= isRenewal;
        return;
      }
      this.acknowledgedGeneration = generation;
      this.acknowledgedEnd = end;
      if (!isRenewal) this.acknowledgedLists = lists;
    } catch (error) {
      this.handleError(error);
    }
  }

  /**
   * While a grant is unanswered, further grants name no later end, so that the slices of a lost
   * server can be reassigned sooner.
   */
  private chooseEnd(): Instant {
    const leaseEnd = this.source.getLeaseEnd();
    const isAnswering = this.unansweredSinceMs === undefined;
    if (isAnswering || this.hasLapsed()) return leaseEnd;
    return leaseEnd.monotonicMs < this.latestEnd.monotonicMs
      ? leaseEnd
      : this.latestEnd;
  }

  private async putGrant(server: Dispatcher, body: string): Promise<number> {
    const answer = await server.request({
      origin: '',
      method: 'PUT',
      path: `${GRANT_PATH}${this.service}`,
      headers: {'content-type': 'application/json'},
      body,
      signal: AbortSignal.timeout(GRANT_TIMEOUT_MS),
    });
    await answer.body.dump();
    return answer.statusCode;
  }

  private handleError(error: unknown): void {
    this.log.writeDebug('A backend server did not accept a grant.', {
      service: this.service,
      reason: String(error),
    });
    const {code} = error as {readonly code?: unknown};
    if (code === CONNECTION_REFUSED) this.onRefused();
  }
}
