/**
 * Ends the connections of a listener without cutting a request off: answers say that the connection
 * closes, so that callers send their next request elsewhere, before idle connections are closed.
 */
import type {Server} from 'node:http';

import {type System, waitFor} from '@dottereldrift/core/system.js';

const POLL_MS = 20;

/** Drains one listener. */
export class ListenerDrain {
  private isDraining = false;

  constructor(
    private readonly system: System,
    private readonly server: Server,
  ) {
    server.prependListener('request', (_request, response) => {
      if (this.isDraining) response.shouldKeepAlive = false;
    });
  }

  /** From now on every answer closes its connection. */
  start(): void {
    this.isDraining = true;
  }

  /** Waits until no connection is open, at most for a time in milliseconds. */
  async waitUntilEmpty(limitMs: number): Promise<void> {
    const endMs = this.system.getNow().monotonicMs + limitMs;
    while ((await this.countConnections()) > 0) {
      if (this.system.getNow().monotonicMs >= endMs) return;
      await waitFor(this.system, POLL_MS);
    }
  }

  private countConnections(): Promise<number> {
    return new Promise(resolve => {
      this.server.getConnections((error, count) => {
        resolve(error === null ? count : 0);
      });
    });
  }
}
