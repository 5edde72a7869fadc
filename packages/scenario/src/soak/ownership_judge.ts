/**
 * Judges exclusive ownership by what backend servers hold: no two servers that run hold a key at the same
 * time, and a key that another server had comes with a higher fencing token.
 */
import type {HeldKeys} from '@dottereldrift/daemon/heartbeat_grants.js';
import {isCovering, isOverlapping} from '@dottereldrift/ownership/key_range.js';

/** A server as the judge sees it. */
export interface JudgedServer {
  /** Names one start of the server. */
  readonly life: string;
  /** Returns the keys that it holds or still works on under a grant that has not ended. */
  listBoundKeys(): readonly HeldKeys[];
  isRunning(): boolean;
}

interface TakenKeys extends HeldKeys {
  readonly life: string;
}

/** Watches every grant that a server takes. */
export class OwnershipJudge {
  readonly violations: string[] = [];
  /** Grants of keys that the server did not hold before. */
  takenCount = 0;
  private readonly history: TakenKeys[] = [];

  constructor(
    private readonly listServers: () => readonly JudgedServer[],
    private readonly getElapsedMs: () => number,
  ) {}

  /** Checks what a server holds after it has taken an answer. */
  observeGrant(server: JudgedServer, keys: readonly HeldKeys[]): void {
    for (const row of keys) {
      this.checkOthers(server, row);
      this.checkTokens(server, row);
    }
  }

  /** Tells whether a running server holds a key. */
  isHeld(key: number): boolean {
    const keys = {first: key, last: key};
    return this.listServers().some(
      server =>
        server.isRunning() &&
        server.listBoundKeys().some(held => isCovering(held, keys)),
    );
  }

  private checkOthers(server: JudgedServer, row: HeldKeys): void {
    for (const other of this.listServers()) {
      if (other === server || !other.isRunning()) continue;
      const shared = other
        .listBoundKeys()
        .find(keys => isOverlapping(keys, row));
      if (shared === undefined) continue;
      this.addViolation(
        `${server.life} takes ${formatRow(row)}, ${other.life} holds ${formatRow(shared)}`,
      );
    }
  }

  private checkTokens(server: JudgedServer, row: HeldKeys): void {
    const {life} = server;
    const isKnown = this.history.some(
      taken =>
        taken.life === life &&
        taken.token === row.token &&
        isCovering(taken, row),
    );
    if (isKnown) return;
    this.takenCount += 1;
    const earlier = this.history.find(
      taken =>
        taken.life !== life &&
        taken.token >= row.token &&
        isOverlapping(taken, row),
    );
    if (earlier !== undefined)
      this.addViolation(
        `${life} takes ${formatRow(row)}, ${earlier.life} had ${formatRow(earlier)}`,
      );
    this.history.push({...row, life});
  }

  private addViolation(text: string): void {
    const seconds = (this.getElapsedMs() / 1_000).toFixed(3);
    this.violations.push(`${seconds} ${text}`);
  }
}

function formatRow({first, last, token}: HeldKeys): string {
  return `keys ${first} to ${last} with token ${token}`;
}
