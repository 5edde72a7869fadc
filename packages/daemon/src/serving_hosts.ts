/**
 * The hosts that serve the services that are not divided by key, as the store's copy shows them. Each
 * request asks for them, on large fleets some ten thousand times between two changes, so they are kept
 * until a session, a drain or this daemon's data centre changes.
 */
import type {HostName, ServiceName} from '@dottereldrift/core/types.js';
import type {Session} from '@dottereldrift/membership/types.js';
import type {ServingHost} from '@dottereldrift/routing/host_choice.js';

import type {StoreView} from './store_view.js';

/** What the hosts are read from. */
export type ServingView = Pick<
  StoreView,
  'getSession' | 'getLiveSessions' | 'isDraining'
>;

interface KnownHost {
  readonly host: HostName;
  readonly slots: number;
  readonly isNear: boolean;
}

/** The hosts of one service, and what they were read from. */
interface KnownHosts {
  readonly sessions: readonly Session[];
  readonly ownCentre: string | undefined;
  readonly known: readonly KnownHost[];
  /** The same hosts at the distance that was asked for last. */
  readonly distance: number;
  readonly hosts: readonly ServingHost[];
}

/** Lists the hosts that serve each service. */
export class ServingHosts {
  private readonly services = new Map<ServiceName, KnownHosts>();

  constructor(
    private readonly view: ServingView,
    private readonly selfHost: HostName,
  ) {}

  /** Returns the hosts of a service; those of other data centres are at the distance given. */
  listHosts(service: ServiceName, distance: number): readonly ServingHost[] {
    const sessions = this.view.getLiveSessions();
    const ownCentre = this.view.getSession(this.selfHost)?.session.dataCentre;
    const present = this.services.get(service);
    const isCurrent =
      present?.sessions === sessions && present.ownCentre === ownCentre;
    if (isCurrent && present.distance === distance) return present.hosts;
    const known = isCurrent
      ? present.known
      : this.readHosts(service, sessions, ownCentre);
    const hosts = addDistances(known, distance);
    this.services.set(service, {sessions, ownCentre, known, distance, hosts});
    return hosts;
  }

  private readHosts(
    service: ServiceName,
    sessions: readonly Session[],
    ownCentre: string | undefined,
  ): readonly KnownHost[] {
    return sessions.flatMap(session => {
      const {host} = session.member;
      const server = session.servers.find(other => other.service === service);
      const isLeaving = session.isLeaving || this.view.isDraining(host);
      if (server === undefined || server.isLeaving || isLeaving) return [];
      const isNear = session.dataCentre === ownCentre;
      return [{host, slots: server.slots, isNear}];
    });
  }
}

function addDistances(
  known: readonly KnownHost[],
  distance: number,
): readonly ServingHost[] {
  return known.map(({host, slots, isNear}) => ({
    host,
    slots,
    distance: isNear ? 1 : distance,
  }));
}
