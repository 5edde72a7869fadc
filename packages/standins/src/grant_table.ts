/**
 * What a backend server that checks fencing tokens keeps of the grants it was given, and the check
 * that it makes before it runs a request.
 */
import type {Instant} from '@dottereldrift/core/types.js';

/** A grant as the daemon sends it; `slices` is absent when only the lease is renewed. */
export interface GrantBody {
  readonly generation: number;
  readonly issuedAtMonotonicMs: number;
  readonly leaseEndUnixMs: number;
  readonly leaseEndMonotonicMs: number;
  readonly slices?: ReadonlyArray<readonly [number, number]>;
}

/** Headers of a request, by name in lower case. */
export type RequestHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Grants of one server. */
export class GrantTable {
  private readonly granted = new Map<number, number>();
  private generation = 0;
  private issuedAtMs = 0;
  private leaseEndUnixMs = 0;
  private leaseEndMonotonicMs = 0;

  /** Refuses a grant that was overtaken, and one that renews slices which were never listed. */
  tryTakeGrant(grant: GrantBody): boolean {
    if (grant.generation < this.generation) return false;
    if (grant.issuedAtMonotonicMs < this.issuedAtMs) return false;
    const isRenewal = grant.slices === undefined;
    if (isRenewal && grant.generation !== this.generation) return false;
    this.generation = grant.generation;
    this.issuedAtMs = grant.issuedAtMonotonicMs;
    this.leaseEndUnixMs = grant.leaseEndUnixMs;
    this.leaseEndMonotonicMs = grant.leaseEndMonotonicMs;
    if (grant.slices === undefined) return true;
    this.granted.clear();
    for (const [start, token] of grant.slices) this.granted.set(start, token);
    return true;
  }

  /** Returns why a request must not run; undefined when it may. */
  findFault(headers: RequestHeaders, now: Instant): string | undefined {
    const leaseEnd = Number(headers['dottereldrift-lease-end-unix-ms'] ?? 0);
    const monotonicEnd = Number(
      headers['dottereldrift-lease-end-monotonic-ms'] ?? 0,
    );
    const isRenewed =
      now.wallMs < this.leaseEndUnixMs &&
      now.monotonicMs < this.leaseEndMonotonicMs;
    const isCarried = now.wallMs < leaseEnd && now.monotonicMs < monotonicEnd;
    if (!isRenewed && !isCarried) return 'the lease has lapsed';
    const slice = headers['dottereldrift-slice'];
    if (slice === undefined) return undefined;
    const token = Number(headers['dottereldrift-token'] ?? 0);
    return this.granted.get(Number(slice)) === token
      ? undefined
      : 'the token is not granted';
  }
}
