/**
 * Learns the routes of services from any daemon, one call at a time for each service, and forgets no
 * routes for want of an answer.
 */
import * as E from 'fp-ts/lib/Either.js';
import type {Dispatcher} from 'undici';

import {parseRouteTable, type RouteTable} from './route_table.js';

/** Returns the addresses to ask, the most promising first. */
export type AddressSource = (service: string) => readonly string[];

const REFRESH_TIMEOUT_MS = 500;
const OK_STATUS = 200;

/** Routes by service. */
export class RouteCache {
  private readonly tables = new Map<string, RouteTable>();
  private readonly underWay = new Map<string, Promise<void>>();

  constructor(
    private readonly dispatcher: Dispatcher,
    private readonly getAddresses: AddressSource,
  ) {}

  /** Returns the routes that are known. */
  getTable(service: string): RouteTable | undefined {
    return this.tables.get(service);
  }

  /** Asks for later routes. It never rejects: what is known stays in use. */
  refresh(service: string): Promise<void> {
    const present = this.underWay.get(service);
    if (present !== undefined) return present;
    const started = this.askInTurn(service).finally(() => {
      this.underWay.delete(service);
    });
    this.underWay.set(service, started);
    return started;
  }

  private async askInTurn(service: string): Promise<void> {
    for (const address of this.getAddresses(service)) {
      if (await this.tryAsk(service, address)) return;
    }
  }

  /** Tells whether the daemon answered. */
  private async tryAsk(service: string, address: string): Promise<boolean> {
    const after = this.tables.get(service)?.generation ?? -1;
    try {
      const answer = await this.dispatcher.request({
        origin: `http://${address}`,
        path: `/routes/${encodeURIComponent(service)}?after=${after}`,
        method: 'GET',
        signal: AbortSignal.timeout(REFRESH_TIMEOUT_MS),
      });
      const text = await answer.body.text();
      if (answer.statusCode === OK_STATUS) this.adoptText(service, text);
      return answer.statusCode < 500;
    } catch {
      return false;
    }
  }

  private adoptText(service: string, text: string): void {
    const parsed = parseRouteTable(text);
    if (E.isLeft(parsed)) return;
    const known = this.tables.get(service)?.generation ?? -1;
    if (parsed.right.generation > known) this.tables.set(service, parsed.right);
  }
}
