/**
 * Tells which kinds of requests are sent by backend servers in the middle of a run. Callers are on all hosts, so
 * a kind of which hardly any request comes from the hosts of some service is not theirs: the servers of other
 * services send it. Such a request is nested in a run that holds a slot elsewhere until it is answered.
 */
import type {ServiceName} from '@dottereldrift/core/types.js';

/** Hosts of each service of the fleet. */
export type HostCounts = ReadonlyMap<ServiceName, number>;

/** Requests of one kind by the service of the host that they come from. */
interface KindOrigins {
  readonly counts: Map<ServiceName, number>;
  total: number;
  isNested: boolean;
}

/** Requests that would have come from the hosts of a service by now if callers there sent the kind. */
const MIN_EXPECTED = 16;
/** Part of the expected requests up to which those that came are too few for callers. */
const FEW_SHARE = 1 / 16;
/** Requests of a kind between two judgements. */
const JUDGE_INTERVAL = 8;
/** Requests of a kind after which earlier ones count half. */
const MAX_COUNTED = 1_024;

/** Follows where requests come from. */
export class NestedKinds {
  private readonly kinds = new Map<string, KindOrigins>();
  private services: ReadonlySet<ServiceName> = new Set();

  constructor(private readonly countHosts: () => HostCounts) {}

  /** Takes note of a request; tells whether its kind is sent from within runs. */
  observe(kind: string, origin: ServiceName): boolean {
    const origins = this.getOrigins(kind);
    origins.counts.set(origin, (origins.counts.get(origin) ?? 0) + 1);
    origins.total += 1;
    if (origins.total % JUDGE_INTERVAL === 0) this.judge(origins);
    if (origins.total >= MAX_COUNTED) dropHalf(origins);
    return origins.isNested;
  }

  private judge(origins: KindOrigins): void {
    const hosts = this.countHosts();
    if (this.hasNewService(hosts)) {
      // What was counted before says nothing of the hosts that have come.
      for (const other of this.kinds.values()) forgetCounts(other);
      return;
    }
    origins.isNested = isMissingService(origins, hosts);
  }

  private hasNewService(hosts: HostCounts): boolean {
    const isNew = [...hosts.keys()].some(name => !this.services.has(name));
    this.services = new Set(hosts.keys());
    return isNew;
  }

  private getOrigins(kind: string): KindOrigins {
    const present = this.kinds.get(kind);
    if (present !== undefined) return present;
    const origins = {counts: new Map(), total: 0, isNested: false};
    this.kinds.set(kind, origins);
    return origins;
  }
}

function isMissingService(
  {counts, total}: KindOrigins,
  hosts: HostCounts,
): boolean {
  let all = 0;
  for (const count of hosts.values()) all += count;
  for (const [service, count] of hosts) {
    const expected = (total * count) / all;
    const came = counts.get(service) ?? 0;
    if (expected >= MIN_EXPECTED && came < expected * FEW_SHARE) return true;
  }
  return false;
}

function dropHalf(origins: KindOrigins): void {
  let total = 0;
  for (const [service, count] of origins.counts) {
    const half = Math.floor(count / 2);
    origins.counts.set(service, half);
    total += half;
  }
  origins.total = total;
}

function forgetCounts(origins: KindOrigins): void {
  origins.counts.clear();
  origins.total = 0;
}
