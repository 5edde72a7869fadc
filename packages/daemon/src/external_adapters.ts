/**
 * The adapters through which a daemon communicates outside its process. Tests replace them, so that the
 * rest of the daemon runs without sockets.
 */
import type {Log} from '@dottereldrift/core/log.js';
import type {System} from '@dottereldrift/core/system.js';
import {CallBudget} from '@dottereldrift/store/call_budget.js';
import {HttpStore} from '@dottereldrift/store/http_store.js';
import type {ObjectStore} from '@dottereldrift/store/types.js';

import {type DatagramChannel, UdpChannel} from './datagram_channel.js';
import {type Forwarder, HttpForwarder} from './forwarder.js';
import {ConnectPeerClients, type PeerClients} from './peer_client.js';
import {createServerPool} from './server_pool.js';
import type {ServerPoolFactory} from './server_types.js';
import type {Settings} from './settings.js';

/** Adapters for the store, the network and backend servers. */
export interface ExternalAdapters {
  readonly store: ObjectStore;
  readonly channel: DatagramChannel;
  readonly peers: PeerClients;
  readonly forwarder: Forwarder;
  readonly createServerPool: ServerPoolFactory;
  /** Closes every connection. */
  close(): Promise<void>;
}

/** Creates the adapters that use the network. */
export function createNetworkAdapters(
  settings: Settings,
  system: System,
  log: Log,
): ExternalAdapters {
  const {limits, peerAddress, peerKey} = settings;
  const budget = new CallBudget(
    system,
    limits.storeCallsPerSecond,
    limits.storeCallsBurst,
  );
  const store = new HttpStore(settings.storeUrl, system, budget);
  const channel = new UdpChannel(
    peerAddress,
    peerKey,
    log.createChild('channel'),
  );
  const forwarder = new HttpForwarder(system, peerKey, peerAddress.ip);
  return {
    store,
    channel,
    peers: new ConnectPeerClients(peerKey, peerAddress.ip),
    forwarder,
    createServerPool,
    close: async () => {
      await forwarder.close();
      await store.close();
      channel.close();
    },
  };
}
