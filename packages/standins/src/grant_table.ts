/**
 * Grant state of a backend server that checks fencing tokens, and the check that it applies to a
 * request before running it.
 */
import type {Instant} from '@dottereldrift/core/types.js';

/**
 * A grant as the daemon sends it. `slices` lists the start and the fencing token of each granted slice;
 * it is absent when only the lease is renewed.
 */
export interface GrantBody {
  readonly generation: number;
  readonly issuedAtMonotonicMs: number;
  readonly leaseEndUnixMs: number;
  readonly leaseEndMonotonicMs: number;
  readonly slices?: ReadonlyArray<readonly [number, number]>;
}

/** Headers of a request, keyed by lower-case name. */
export type RequestHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** The latest grant that one backend server accepted. */
export class GrantTable {
  private readonly tokensBySlice = new Map<number, number>();
  private generation = 0;
  private issuedAtMs = 0;
  private leaseEndUnixMs = 0;
  private leaseEndMonotonicMs = 0;

  /**
   * Accepts a grant unless a newer one has been accepted, or unless it renews a generation whose slices
   * were never received. Returns whether the grant was accepted.
   */
  tryAcceptGrant(grant: GrantBody): boolean {
    if (grant.generation < this.generation) return false;
    if (grant.issuedAtMonotonicMs < this.issuedAtMs) return false;
    const isRenewal = grant.slices === undefined;
    if (isRenewal && grant.generation !== this.generation) return false;
    this.generation = grant.generation;
    this.issuedAtMs = grant.issuedAtMonotonicMs;
    this.leaseEndUnixMs = grant.leaseEndUnixMs;
    this.leaseEndMonotonicMs = grant.leaseEndMonotonicMs;
    if (grant.slices === undefined) return true;
    this.tokensBySlice.clear();
    for (const [start, token] of grant.slices)
      this.tokensBySlice.set(start, token);
    return true;
  }

  /** Returns the reason for which a request must not run, or undefined when it may run. */
  findRejectionReason(
    headers: RequestHeaders,
    now: Instant,
  ): string | undefined {
    const requestLeaseEndUnixMs = Number(
      headers['dottereldrift-lease-end-unix-ms'] ?? 0,
    );
    const requestLeaseEndMonotonicMs = Number(
      headers['dottereldrift-lease-end-monotonic-ms'] ?? 0,
    );
    const isGrantLeaseValid =
      now.wallMs < this.leaseEndUnixMs &&
      now.monotonicMs < this.leaseEndMonotonicMs;
    const isRequestLeaseValid =
      now.wallMs < requestLeaseEndUnixMs &&
      now.monotonicMs < requestLeaseEndMonotonicMs;
    if (!isGrantLeaseValid && !isRequestLeaseValid)
      return 'the lease has lapsed';
    const slice = headers['dottereldrift-slice'];
    if (slice === undefined) return undefined;
    const token = Number(headers['dottereldrift-token'] ?? 0);
    return this.tokensBySlice.get(Number(slice)) === token
      ? undefined
      : 'the token is not granted';
  }
}
