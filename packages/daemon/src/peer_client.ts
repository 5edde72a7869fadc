/**
 * Clients of the peer service of other daemons: fencing votes, slice releases, load reports and handovers.
 */
import {type Client, createClient, type Interceptor} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';

import {formatUrl} from '@dottereldrift/core/member.js';
import type {Address} from '@dottereldrift/core/types.js';
import {PeerService} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';

/** Client of another daemon. */
export type PeerClient = Client<typeof PeerService>;

/** Timeout of a call between daemons. */
export const PEER_CALL_TIMEOUT_MS = 1_000;

const MAX_CACHED_CLIENTS = 1_024;

/** Provides clients of other daemons. */
export interface PeerClients {
  /** Returns the client of the daemon at an address. */
  getClient(address: Address): PeerClient;
}

/** Creates and caches clients that call over HTTP. */
export class ConnectPeerClients implements PeerClients {
  private readonly clients = new Map<string, PeerClient>();

  /** Calls are sent from `localIp`, so that other hosts can identify the caller. */
  constructor(
    private readonly peerKey: string,
    private readonly localIp: string,
  ) {}

  getClient(address: Address): PeerClient {
    const url = formatUrl(address);
    const cached = this.clients.get(url);
    if (cached !== undefined) return cached;
    if (this.clients.size >= MAX_CACHED_CLIENTS) this.clients.clear();
    const client = createClient(PeerService, this.createTransport(url));
    this.clients.set(url, client);
    return client;
  }

  private createTransport(url: string) {
    const authenticate: Interceptor = next => request => {
      request.header.set('authorization', `Bearer ${this.peerKey}`);
      return next(request);
    };
    return createConnectTransport({
      baseUrl: url,
      httpVersion: '1.1',
      nodeOptions: {localAddress: this.localIp},
      interceptors: [authenticate],
      defaultTimeoutMs: PEER_CALL_TIMEOUT_MS,
    });
  }
}
