/**
 * Sends the backend server of one service its grant, and knows what the server may still do by it:
 * which generation it has acknowledged, until when it may run requests, and when every grant that it
 * was ever sent has lapsed.
 *
 * A server that checks grants runs nothing after the end that they name, by the clocks of the host
 * that it shares with its daemon. So a server that does not answer is proved harmless by waiting.
 */
import type {Dispatcher} from 'undici';

import type {Log} from '@dottereldrift/core/log.js';
import type {System} from '@dottereldrift/core/system.js';
import type {Instant, ServiceName} from '@dottereldrift/core/types.js';
import type {Slice} from '@dottereldrift/ownership/types.js';

import type {GrantBook, GrantSource} from './grant_book.js';

/** Path at which a server takes grants, followed by the service. */
export const GRANT_PATH = '/dottereldrift/grants/';

const GRANT_TIMEOUT_MS = 1_000;
const CONNECTION_REFUSED = 'ECONNREFUSED';
const NEVER: Instant = {monotonicMs: -Infinity, wallMs: -Infinity};

/** Sends the grants of one service. */
export class GrantSender implements GrantBook {
  private acknowledgedGeneration = 0;
  private acknowledgedEnd = NEVER;
  /** Latest end that any grant named, acknowledged or not. */
  private latestEnd: Instant;
  /** Grants that list their slices: asked for and acknowledged. */
  private listsWanted = 0;
  private listsAcknowledged = 0;
  private unansweredSinceMs: number | undefined;
  private isStale = false;
  private sending: Promise<void> | undefined;

  constructor(
    private readonly service: ServiceName,
    private readonly system: System,
    private readonly source: GrantSource,
    private readonly onRefused: () => void,
    private readonly log: Log,
    /** When grants of an earlier run of this daemon have ended. */
    earlierEnd: Instant,
  ) {
    this.latestEnd = earlierEnd;
  }

  /** Tells whether the server has acknowledged a slice and may still run requests of it. */
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

  /** Tells whether no grant that was ever sent lets a server start a request now. */
  hasLapsed(): boolean {
    return this.system.getNow().monotonicMs >= this.latestEnd.monotonicMs;
  }

  getLatestEndMs(): number {
    return this.latestEnd.monotonicMs;
  }

  /** Milliseconds for which the server has left a grant unanswered. */
  getUnansweredMs(): number {
    if (this.unansweredSinceMs === undefined) return 0;
    return this.system.getNow().monotonicMs - this.unansweredSinceMs;
  }

  /** Forgets what the server acknowledged: it is gone, or another one came. */
  reset(): void {
    this.acknowledgedGeneration = 0;
    this.acknowledgedEnd = NEVER;
    this.listsAcknowledged = 0;
    this.unansweredSinceMs = undefined;
  }

  endProvedGone(): void {
    this.reset();
    this.latestEnd = NEVER;
  }

  /** Sends the newest grant; one is under way at a time. */
  send(server: Dispatcher): Promise<void> {
    this.isStale = true;
    this.sending ??= this.sendWhileStale(server).finally(() => {
      this.sending = undefined;
    });
    return this.sending;
  }

  /** Sends the list of slices anew; true once the server has acknowledged it. */
  async tryConfirm(server: Dispatcher): Promise<boolean> {
    this.listsWanted += 1;
    const wanted = this.listsWanted;
    await this.send(server);
    return this.listsAcknowledged >= wanted;
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
    const lists = this.listsWanted;
    const isRenewal =
      this.acknowledgedGeneration === generation &&
      this.listsAcknowledged >= lists;
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
      if (!isRenewal) this.listsAcknowledged = lists;
    } catch (error) {
      this.handleError(error);
    }
  }

  /**
   * A server that leaves a grant unanswered gets no later end until it answers, so that its slices can
   * be given away the sooner if it is lost.
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
    this.log.writeDebug('A grant was not taken.', {
      service: this.service,
      reason: String(error),
    });
    const {code} = error as {readonly code?: unknown};
    if (code === CONNECTION_REFUSED) this.onRefused();
  }
}
