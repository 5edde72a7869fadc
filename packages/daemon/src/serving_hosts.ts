/**
 * Caches which hosts serve each service that is not divided by key, derived from the local view of the
 * store. Every request needs the list, about ten thousand times between two changes in large fleets, so
 * it is cached until a session, a drain or this daemon's data centre changes.
 */
import type {HostName, ServiceName} from '@dottereldrift/core/types.js';
import type {Session} from '@dottereldrift/membership/types.js';
import type {ServingHost} from '@dottereldrift/routing/host_selector.js';

import type {StoreView} from './store_view.js';

/** The part of the store view that the host lists are derived from. */
export type ServingView = Pick<
  StoreView,
  'getSession' | 'getLiveSessions' | 'isDraining'
>;

interface LocatedHost {
  readonly host: HostName;
  readonly slots: number;
  readonly isInOwnDataCentre: boolean;
}

/** The cached hosts of one service with the inputs that they were derived from. */
interface CachedHosts {
  readonly sessions: readonly Session[];
  readonly ownDataCentre: string | undefined;
  readonly locatedHosts: readonly LocatedHost[];
  /** Distance of hosts in other data centres that `hosts` was computed for. */
  readonly distance: number;
  readonly hosts: readonly ServingHost[];
}

/** Lists the hosts that serve each service, with caching. */
export class ServingHosts {
  private readonly services = new Map<ServiceName, CachedHosts>();

  constructor(
    private readonly view: ServingView,
    private readonly selfHost: HostName,
  ) {}

  /** Returns the hosts of a service; hosts in other data centres get the given distance. */
  listHosts(service: ServiceName, distance: number): readonly ServingHost[] {
    const sessions = this.view.getLiveSessions();
    const ownDataCentre = this.view.getSession(this.selfHost)?.session
      .dataCentre;
    const cached = this.services.get(service);
    const isCurrent =
      cached?.sessions === sessions && cached.ownDataCentre === ownDataCentre;
    if (isCurrent && cached.distance === distance) return cached.hosts;
    const locatedHosts = isCurrent
      ? cached.locatedHosts
      : this.listLocatedHosts(service, sessions, ownDataCentre);
    const hosts = addDistances(locatedHosts, distance);
    this.services.set(service, {
      sessions,
      ownDataCentre,
      locatedHosts,
      distance,
      hosts,
    });
    return hosts;
  }

  private listLocatedHosts(
    service: ServiceName,
    sessions: readonly Session[],
    ownDataCentre: string | undefined,
  ): readonly LocatedHost[] {
    return sessions.flatMap(session => {
      const {host} = session.member;
      const server = session.servers.find(other => other.service === service);
      const isLeaving = session.isLeaving || this.view.isDraining(host);
      if (server === undefined || server.isLeaving || isLeaving) return [];
      const isInOwnDataCentre = session.dataCentre === ownDataCentre;
      return [{host, slots: server.slots, isInOwnDataCentre}];
    });
  }
}

function addDistances(
  locatedHosts: readonly LocatedHost[],
  distance: number,
): readonly ServingHost[] {
  return locatedHosts.map(({host, slots, isInOwnDataCentre}) => ({
    host,
    slots,
    distance: isInOwnDataCentre ? 1 : distance,
  }));
}
