/**
 * Creates the connection pool of a backend server.
 */
import {type Dispatcher, Pool} from 'undici';

import {formatUrl} from '@dottereldrift/core/member.js';
import type {ServerInfo} from '@dottereldrift/membership/types.js';

import {createConnector} from './connector.js';

const CONNECT_TIMEOUT_MS = 500;

/** Creates an HTTP connection pool for a server. */
export function createServerPool(info: ServerInfo): Dispatcher {
  return new Pool(formatUrl(info.address), {
    connections: Math.max(1, info.connections - 1),
    pipelining: 1,
    connect: createConnector(CONNECT_TIMEOUT_MS),
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}
