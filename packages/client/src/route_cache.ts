/**
 * Caches the routes of services. Routes are fetched from any daemon, with at most one refresh in progress per
 * service, and are kept if a refresh fails. A table is never replaced by one of an older generation.
 */
import * as E from 'fp-ts/lib/Either.js';
import type {Dispatcher} from 'undici';

import {parseRouteTable, type RouteTable} from './route_table.js';

/** Returns the daemon addresses to fetch routes from, in order of preference. */
export type AddressSource = (service: string) => readonly string[];

const REFRESH_TIMEOUT_MS = 500;
const OK_STATUS = 200;

/** Cache of route tables by service. */
export class RouteCache {
  private readonly tables = new Map<string, RouteTable>();
  private readonly pendingRefreshes = new Map<string, Promise<void>>();

  constructor(
    private readonly dispatcher: Dispatcher,
    private readonly getAddresses: AddressSource,
  ) {}

  /** Returns the cached routes of a service. */
  getTable(service: string): RouteTable | undefined {
    return this.tables.get(service);
  }

  /** Fetches newer routes. Never rejects: if it fails, the cached routes remain in use. */
  refresh(service: string): Promise<void> {
    const pending = this.pendingRefreshes.get(service);
    if (pending !== undefined) return pending;
    const started = this.refreshFromAny(service).finally(() => {
      this.pendingRefreshes.delete(service);
    });
    this.pendingRefreshes.set(service, started);
    return started;
  }

  private async refreshFromAny(service: string): Promise<void> {
    for (const address of this.getAddresses(service)) {
      if (await this.tryRefreshFrom(service, address)) return;
    }
  }

  /** Returns whether the daemon responded without a server error. */
  private async tryRefreshFrom(
    service: string,
    address: string,
  ): Promise<boolean> {
    const knownGeneration = this.tables.get(service)?.generation ?? -1;
    try {
      const response = await this.dispatcher.request({
        origin: `http://${address}`,
        path: `/routes/${encodeURIComponent(service)}?after=${knownGeneration}`,
        method: 'GET',
        signal: AbortSignal.timeout(REFRESH_TIMEOUT_MS),
      });
      const text = await response.body.text();
      if (response.statusCode === OK_STATUS) this.adoptTable(service, text);
      return response.statusCode < 500;
    } catch {
      return false;
    }
  }

  private adoptTable(service: string, text: string): void {
    const parsed = parseRouteTable(text);
    if (E.isLeft(parsed)) return;
    const knownGeneration = this.tables.get(service)?.generation ?? -1;
    if (parsed.right.generation > knownGeneration)
      this.tables.set(service, parsed.right);
  }
}
