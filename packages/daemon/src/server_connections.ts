/**
 * Chooses the connections on which requests are sent to a backend server. A response is matched to a request
 * by the connection and by the request identifier that it echoes. A request that is sent again bears the same
 * identifier, so it takes another connection each time: a late duplicate of an earlier response, which arrives
 * on the earlier connection, cannot pass for the response to a later sending.
 */
import type {Dispatcher} from 'undici';

/**
 * Number of requests of which the sendings are counted: more than a server receives between the first and the
 * last sending of one request.
 */
const MAX_COUNTED_REQUESTS = 8_192;

/** Number of pools that stay open; a request that is sent more often gets a connection of its own each time. */
const MAX_POOLS = 8;

/** The connections to a backend server. */
export class ServerConnections {
  /** Pool `n` carries the requests that have been sent `n` times before. */
  private readonly pools: Dispatcher[];
  /** Pools that are closed after a single request. */
  private readonly singleUsePools = new Set<Dispatcher>();
  /** Number of sendings by request identifier, oldest request first. */
  private readonly sendings = new Map<string, number>();
  private isClosed = false;

  constructor(private readonly createPool: () => Dispatcher) {
    this.pools = [createPool()];
  }

  /** Returns the connections for messages without a request identifier. */
  getPool(): Dispatcher {
    return this.getPoolOf(0);
  }

  /**
   * Returns connections that have not carried a request before, and counts its sending. The request is to be
   * dispatched at once.
   */
  takePool(requestId: string): Dispatcher {
    if (requestId === '') return this.getPool();
    const sent = this.sendings.get(requestId) ?? 0;
    this.sendings.set(requestId, sent + 1);
    if (this.sendings.size > MAX_COUNTED_REQUESTS) this.dropOldest();
    return this.getPoolOf(sent);
  }

  /** Closes all connections after their requests have finished. */
  async close(): Promise<void> {
    this.isClosed = true;
    await Promise.all(this.pools.map(pool => pool.close()));
  }

  /** Closes all connections at once; their requests fail. */
  async destroy(): Promise<void> {
    this.isClosed = true;
    const open = [...this.pools, ...this.singleUsePools];
    await Promise.all(open.map(pool => pool.destroy()));
  }

  private getPoolOf(sent: number): Dispatcher {
    // A closed pool fails requests without sending them.
    const present = this.pools[this.isClosed ? 0 : sent];
    if (present !== undefined) return present;
    const pool = this.createPool();
    if (sent < MAX_POOLS) this.pools.push(pool);
    else this.closeAfterRequest(pool);
    return pool;
  }

  private closeAfterRequest(pool: Dispatcher): void {
    this.singleUsePools.add(pool);
    queueMicrotask(() => {
      void pool.close().finally(() => this.singleUsePools.delete(pool));
    });
  }

  private dropOldest(): void {
    for (const requestId of this.sendings.keys()) {
      this.sendings.delete(requestId);
      return;
    }
  }
}
