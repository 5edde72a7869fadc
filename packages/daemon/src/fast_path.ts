/**
 * A fast path for common requests that bypasses Fastify's routing, hooks and body parsing, which take longer
 * than all routing decisions of the entry at about ten requests a second. Requests that Fastify might treat
 * specially still go through it.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {FastifyInstance} from 'fastify';

import {assertDefined} from '@dottereldrift/core/assert.js';

/** Handles a request of the HTTP server. */
export type RequestListener = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

const FAST_PATH_METHODS: ReadonlySet<string> = new Set([
  'DELETE',
  'GET',
  'HEAD',
  'PATCH',
  'POST',
  'PUT',
]);
/** Matches targets without escapes, fragments and path parameters. */
const FAST_PATH_TARGET = /^\/[\w\-.~/?=&:,]*$/;
/** Fastify may reject longer targets. */
const MAX_TARGET_LENGTH = 1_024;
const FAST_PATH_MEDIA_TYPE = /^\w[\w.+-]*\/\w[\w.+-]*$/;

/** Serves eligible requests under a path prefix directly, unless `mayServe` leaves them to Fastify. */
export function addFastPath(
  app: FastifyInstance,
  prefix: string,
  serve: RequestListener,
  mayServe: (request: IncomingMessage) => boolean = () => true,
): void {
  const {server} = app;
  const [firstListener] = server.listeners('request') as RequestListener[];
  const frameworkListener = assertDefined(
    firstListener,
    'Fastify must have registered a request listener.',
  );
  server.removeListener('request', frameworkListener);
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    const isOnFastPath =
      request.url?.startsWith(prefix) === true &&
      isFastPathRequest(request) &&
      mayServe(request);
    if (isOnFastPath) serve(request, response);
    else frameworkListener.call(server, request, response);
  });
}

/** Returns whether Fastify would pass the request to its route unchanged. */
export function isFastPathRequest({
  method = '',
  url = '',
  headers,
}: Pick<IncomingMessage, 'method' | 'url' | 'headers'>): boolean {
  const mediaType = headers['content-type'];
  return (
    FAST_PATH_METHODS.has(method) &&
    url.length <= MAX_TARGET_LENGTH &&
    FAST_PATH_TARGET.test(url) &&
    (mediaType === undefined || FAST_PATH_MEDIA_TYPE.test(mediaType))
  );
}
