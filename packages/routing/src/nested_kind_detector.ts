/**
 * Detects kinds of requests that backend servers send during a run. External callers use all hosts, so a
 * kind that hardly ever comes from the hosts of some service is sent by the servers of other services.
 * Such a request is nested: the run that sends it holds a slot of another server until it is answered.
 */
import type {ServiceName} from '@dottereldrift/core/types.js';

/** Number of hosts of each service of the fleet. */
export type HostCounts = ReadonlyMap<ServiceName, number>;

/** Requests of one kind, counted by the service of the host that they come from. */
interface KindOrigins {
  readonly counts: Map<ServiceName, number>;
  total: number;
  isNested: boolean;
}

/** Minimum expected number of requests from the hosts of a service for its count to be significant. */
const MIN_EXPECTED_REQUESTS = 16;
/** Share of the expected requests below which a service counts as not sending the kind. */
const MAX_MISSING_SHARE = 1 / 16;
/** Number of requests of a kind between two classifications. */
const CLASSIFICATION_INTERVAL = 8;
/** Number of requests of a kind at which all counts are halved, so that old requests lose weight. */
const HALVING_THRESHOLD = 1_024;

/** Classifies kinds of requests by the hosts that they come from. */
export class NestedKindDetector {
  private readonly kinds = new Map<string, KindOrigins>();
  private services: ReadonlySet<ServiceName> = new Set();

  constructor(private readonly countHosts: () => HostCounts) {}

  /** Counts a request, and returns whether its kind is nested. */
  observe(kind: string, origin: ServiceName): boolean {
    const origins = this.getOrigins(kind);
    origins.counts.set(origin, (origins.counts.get(origin) ?? 0) + 1);
    origins.total += 1;
    if (origins.total % CLASSIFICATION_INTERVAL === 0) this.classify(origins);
    if (origins.total >= HALVING_THRESHOLD) dropHalfOfCounts(origins);
    return origins.isNested;
  }

  private classify(origins: KindOrigins): void {
    const hosts = this.countHosts();
    if (this.hasNewService(hosts)) {
      // Earlier counts say nothing about the hosts of the new service.
      for (const other of this.kinds.values()) clearCounts(other);
      return;
    }
    origins.isNested = hasMissingService(origins, hosts);
  }

  private hasNewService(hosts: HostCounts): boolean {
    const isNew = [...hosts.keys()].some(name => !this.services.has(name));
    this.services = new Set(hosts.keys());
    return isNew;
  }

  private getOrigins(kind: string): KindOrigins {
    const existing = this.kinds.get(kind);
    if (existing !== undefined) return existing;
    const origins = {counts: new Map(), total: 0, isNested: false};
    this.kinds.set(kind, origins);
    return origins;
  }
}

function hasMissingService(
  {counts, total}: KindOrigins,
  hosts: HostCounts,
): boolean {
  let totalHosts = 0;
  for (const count of hosts.values()) totalHosts += count;
  for (const [service, count] of hosts) {
    const expected = (total * count) / totalHosts;
    const observed = counts.get(service) ?? 0;
    if (
      expected >= MIN_EXPECTED_REQUESTS &&
      observed < expected * MAX_MISSING_SHARE
    )
      return true;
  }
  return false;
}

function dropHalfOfCounts(origins: KindOrigins): void {
  let total = 0;
  for (const [service, count] of origins.counts) {
    const half = Math.floor(count / 2);
    origins.counts.set(service, half);
    total += half;
  }
  origins.total = total;
}

function clearCounts(origins: KindOrigins): void {
  origins.counts.clear();
  origins.total = 0;
}
