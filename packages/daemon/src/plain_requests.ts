/**
 * Serves plain requests without the framework's routing, hooks and parsing of bodies, which take longer
 * than all decisions of an entry where a daemon carries some ten requests a second. Whatever the framework
 * might treat in a way of its own still goes through it.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {FastifyInstance} from 'fastify';

import {assertDefined} from '@dottereldrift/core/assert.js';

/** Handles a request of the HTTP server. */
export type RequestListener = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

const PLAIN_METHODS: ReadonlySet<string> = new Set([
  'DELETE',
  'GET',
  'HEAD',
  'PATCH',
  'POST',
  'PUT',
]);
/** Targets without escapes, fragments and parameters of segments. */
const PLAIN_TARGET = /^\/[\w\-.~/?=&:,]*$/;
/** Targets that are longer may be longer than the framework allows. */
const MAX_TARGET_LENGTH = 1_024;
const PLAIN_MEDIA_TYPE = /^\w[\w.+-]*\/\w[\w.+-]*$/;

/** Serves plain requests whose targets begin with a prefix, unless a check sends them to the framework. */
export function servePlainRequests(
  app: FastifyInstance,
  prefix: string,
  serve: RequestListener,
  mayServe: (request: IncomingMessage) => boolean = () => true,
): void {
  const {server} = app;
  const [routed] = server.listeners('request') as RequestListener[];
  const route = assertDefined(routed, 'The framework listens for requests.');
  server.removeListener('request', route);
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    const isServed =
      request.url?.startsWith(prefix) === true &&
      isPlainRequest(request) &&
      mayServe(request);
    if (isServed) serve(request, response);
    else route.call(server, request, response);
  });
}

/** Tells whether the framework would hand a request to its route as it is. */
export function isPlainRequest({
  method = '',
  url = '',
  headers,
}: Pick<IncomingMessage, 'method' | 'url' | 'headers'>): boolean {
  const mediaType = headers['content-type'];
  return (
    PLAIN_METHODS.has(method) &&
    url.length <= MAX_TARGET_LENGTH &&
    PLAIN_TARGET.test(url) &&
    (mediaType === undefined || PLAIN_MEDIA_TYPE.test(mediaType))
  );
}
