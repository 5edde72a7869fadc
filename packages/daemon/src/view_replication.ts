/**
 * Creates the components that keep a daemon's view up to date and stream it to other daemons.
 */
import type {Log} from '@dottereldrift/core/log.js';
import type {System} from '@dottereldrift/core/system.js';
import type {ObjectStore} from '@dottereldrift/store/types.js';

import type {ControlCounters} from './control_counters.js';
import type {PeerClients} from './peer_client.js';
import {RelayClient} from './relay_client.js';
import {RelayServer} from './relay_server.js';
import type {Settings} from './settings.js';
import type {StoreView} from './store_view.js';
import {StoreWatcher} from './store_watcher.js';
import {ViewFollower} from './view_follower.js';

/** The components that update the view and stream it to other daemons. */
export interface ViewReplication {
  readonly follower: ViewFollower;
  readonly relay: RelayServer;
}

/** Creates the components for a view. */
export function createViewReplication(
  settings: Settings,
  system: System,
  store: ObjectStore,
  view: StoreView,
  peers: PeerClients,
  counters: ControlCounters,
  log: Log,
): ViewReplication {
  const watcher = new StoreWatcher(
    system,
    store,
    view,
    log.createChild('store'),
  );
  view.setRefresher(key => watcher.refreshObject(key));
  const relayLog = log.createChild('relay');
  const client = new RelayClient(system, view, peers, counters, relayLog);
  const {host, dataCentre, relayed, peerAddress} = settings;
  const others = settings.peers.filter(
    peer => peer.ip !== peerAddress.ip || peer.port !== peerAddress.port,
  );
  const follower = new ViewFollower(
    {host, dataCentre, peers: others, isRelayed: relayed},
    system,
    view,
    watcher,
    client,
    relayLog,
  );
  return {follower, relay: new RelayServer(system, view, counters)};
}
