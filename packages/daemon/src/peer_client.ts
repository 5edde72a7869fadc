/**
 * Calls to other daemons that are rare: votes, releases and records of idempotency keys.
 */
import {type Client, createClient, type Interceptor} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';

import {formatUrl} from '@dottereldrift/core/member.js';
import type {Address} from '@dottereldrift/core/types.js';
import {PeerService} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';

/** Client of another daemon. */
export type PeerClient = Client<typeof PeerService>;

/** Time allowed for a call between daemons. */
export const PEER_CALL_TIMEOUT_MS = 1_000;

const MAX_CACHED_CLIENTS = 1_024;

/** Gives clients of other daemons. */
export interface PeerClients {
  /** Returns the client of the daemon at an address. */
  getClient(address: Address): PeerClient;
}

/** Creates clients that call over HTTP, and keeps them. */
export class ConnectPeerClients implements PeerClients {
  private readonly clients = new Map<string, PeerClient>();

  /** Calls leave from the IP number given, so that other hosts see who calls. */
  constructor(
    private readonly peerKey: string,
    private readonly localIp: string,
  ) {}

  getClient(address: Address): PeerClient {
    const url = formatUrl(address);
    const present = this.clients.get(url);
    if (present !== undefined) return present;
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
