/**
 * Checks exclusive ownership against the keys that backend servers hold: no two running servers hold a key at the
 * same time, and a key that moves to another server is granted with a higher fencing token.
 */
import type {HeldKeys} from '@dottereldrift/daemon/heartbeat_grants.js';
import {isCovering, isOverlapping} from '@dottereldrift/ownership/key_range.js';

/** The state of a backend server that the checks need. */
export interface ObservedServer {
  /** Identifies one server incarnation. */
  readonly serverIncarnation: string;
  /** Returns the keys of its unexpired grant and those of requests that still run under it. */
  listKeysInUse(): readonly HeldKeys[];
  isRunning(): boolean;
}

interface AcquiredKeys extends HeldKeys {
  readonly serverIncarnation: string;
}

/** Checks every grant that a server accepts and collects the violations. */
export class OwnershipChecker {
  readonly violations: string[] = [];
  /** Number of grants of keys that the server did not hold before. */
  acquisitionCount = 0;
  private readonly acquiredKeys: AcquiredKeys[] = [];

  constructor(
    private readonly listServers: () => readonly ObservedServer[],
    private readonly getElapsedMs: () => number,
  ) {}

  /** Checks the keys that a server holds after it has accepted a grant. */
  checkGrant(server: ObservedServer, keys: readonly HeldKeys[]): void {
    for (const range of keys) {
      this.checkOverlaps(server, range);
      this.checkFencingTokens(server, range);
    }
  }

  /** Tells whether any running server holds a key. */
  isHeld(key: number): boolean {
    const keys = {first: key, last: key};
    return this.listServers().some(
      server =>
        server.isRunning() &&
        server.listKeysInUse().some(held => isCovering(held, keys)),
    );
  }

  private checkOverlaps(server: ObservedServer, range: HeldKeys): void {
    for (const other of this.listServers()) {
      if (other === server || !other.isRunning()) continue;
      const shared = other
        .listKeysInUse()
        .find(keys => isOverlapping(keys, range));
      if (shared === undefined) continue;
      this.addViolation(
        `${server.serverIncarnation} acquired ${formatKeys(range)} while ${other.serverIncarnation} holds ${formatKeys(shared)}`,
      );
    }
  }

  private checkFencingTokens(server: ObservedServer, range: HeldKeys): void {
    const {serverIncarnation} = server;
    const isKnown = this.acquiredKeys.some(
      acquired =>
        acquired.serverIncarnation === serverIncarnation &&
        acquired.token === range.token &&
        isCovering(acquired, range),
    );
    if (isKnown) return;
    this.acquisitionCount += 1;
    const earlier = this.acquiredKeys.find(
      acquired =>
        acquired.serverIncarnation !== serverIncarnation &&
        acquired.token >= range.token &&
        isOverlapping(acquired, range),
    );
    if (earlier !== undefined)
      this.addViolation(
        `${serverIncarnation} acquired ${formatKeys(range)}, but ${earlier.serverIncarnation} had ${formatKeys(earlier)}`,
      );
    this.acquiredKeys.push({...range, serverIncarnation});
  }

  private addViolation(text: string): void {
    const seconds = (this.getElapsedMs() / 1_000).toFixed(3);
    this.violations.push(`${seconds} ${text}`);
  }
}

function formatKeys({first, last, token}: HeldKeys): string {
  return `keys ${first} to ${last} with token ${token}`;
}
