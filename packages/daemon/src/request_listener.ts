/**
 * HTTP listeners for requests of callers, which the entry stage handles, and of peers, which the owner
 * stage handles. Both parse requests and write errors in the same way.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import fastify, {type FastifyInstance} from 'fastify';
import * as E from 'fp-ts/lib/Either.js';

import {getErrorText} from '@dottereldrift/core/errors.js';
import {createMessage} from '@dottereldrift/core/messages.js';
import type {AttemptFailure} from '@dottereldrift/routing/types.js';

import {
  abortResponse,
  formatRawProblemResponse,
  type Problem,
  writeHeaderOnlyProblem,
  writeProtocolProblem,
  writeProblem,
} from './answer_writer.js';
import type {CallerProtocol} from './caller_protocol.js';
import type {AttemptResult, Exchange} from './exchange.js';
import type {ExchangeFactory} from './exchange_factory.js';
import type {RequestSource} from './headers.js';
import {addFastPath, type RequestListener} from './fast_path.js';
import type {RequestRejection} from './request_body.js';
import {
  ROUTED_PATH_PREFIX,
  type RoutedExchangeFactory,
} from './routed_exchange_factory.js';
import {createInternalError} from './failures.js';
import type {Limits} from './settings.js';

/** Handles one exchange. */
export type ExchangeHandler = (exchange: Exchange) => Promise<AttemptResult>;

/** Records the result of an exchange for reports and metrics. */
export type ExchangeObserver = (
  exchange: Exchange,
  result: AttemptResult,
) => void;

/** Called with an unexpected error, after which the connection is closed. */
export type InternalErrorHandler = (error: unknown) => void;

const SERVICE_UNAVAILABLE = 503;
/** Retry delay of a 503 response; by then the daemon may be able to start requests again. */
const SERVICE_UNAVAILABLE_RETRY_AFTER_MS = 300;
const KEEP_ALIVE_MS = 65_000;
const REQUEST_HEAD_TIMEOUT_MS = 10_000;
/** Time limit for receiving a whole request. */
const REQUEST_TIMEOUT_MS = 600_000;
const NOT_PRINTABLE_ASCII = /[^\x21-\x7e]/;

/** Replaces the schema compilers of the framework, which take 1 MB to load: no route declares a schema. */
const NO_SCHEMA_COMPILERS = {
  buildValidator: refuseSchema,
  buildSerializer: refuseSchema,
};

/** Creates a listener with the configured size, time and connection limits. */
export function createListener(limits: Limits): FastifyInstance {
  const app = fastify({
    bodyLimit: limits.bodyBytes,
    keepAliveTimeout: KEEP_ALIVE_MS,
    exposeHeadRoutes: false,
    routerOptions: {maxParamLength: 8_192},
    http: {
      maxHeaderSize: limits.headerBytes,
      headersTimeout: REQUEST_HEAD_TIMEOUT_MS,
    },
    requestTimeout: REQUEST_TIMEOUT_MS,
    clientErrorHandler: writeClientError,
    frameworkErrors: (error, request, reply) => {
      reply.hijack();
      writeProblem(reply.raw, createHttpProblem(400, getErrorText(error)));
      request.raw.resume();
    },
    schemaController: {compilersFactory: NO_SCHEMA_COMPILERS},
    forceCloseConnections: 'idle',
    // Requests that arrive while the listener closes are still handled, so that they report an outcome.
    return503OnClosing: false,
  });
  app.removeAllContentTypeParsers();
  app.server.maxConnections = limits.callerConnections;
  app.addHook('onRequest', (request, reply, done) => {
    if (!NOT_PRINTABLE_ASCII.test(request.raw.url ?? '')) {
      done();
      return;
    }
    // Whether the HTTP parser accepts such bytes depends on the processor architecture.
    reply.hijack();
    const reason = 'its target has bytes outside printable ASCII';
    writeProblem(reply.raw, createHttpProblem(400, reason));
    request.raw.resume();
  });
  return app;
}

/** Adds the routes for requests that name their service and key in the path. */
export function addRequestRoutes(
  app: FastifyInstance,
  source: RequestSource,
  factory: ExchangeFactory,
  handle: ExchangeHandler,
  observe: ExchangeObserver,
  onInternalError: InternalErrorHandler,
): void {
  app.addContentTypeParser('*', (_request, _payload, done) => {
    done(null);
  });
  app.all('/services/*', (request, reply) => {
    reply.hijack();
    serveRequest(request.raw, reply.raw, {
      create: (raw, response) => factory.createExchange(raw, response, source),
      handle,
      observe,
      onInternalError,
      writeProblem,
    });
  });
  app.setNotFoundHandler((request, reply) => {
    reply.hijack();
    const path = request.url.slice(0, 200);
    writeProblem(reply.raw, {
      status: 404,
      outcome: 'not-run',
      message: createMessage('DD3003', {path}),
      retryAfterMs: 0,
    });
  });
}

/**
 * Adds the routes for routed requests that other daemons forward. Unauthorized requests do not take the
 * fast path, so the listener's hooks reject them.
 */
export function addRoutedPeerRoutes(
  app: FastifyInstance,
  factory: RoutedExchangeFactory,
  handle: ExchangeHandler,
  onInternalError: InternalErrorHandler,
  isAuthorized?: (request: IncomingMessage) => boolean,
): void {
  const pipeline: RequestPipeline = {
    create: (raw, response) => factory.createFromPeer(raw, response),
    handle,
    observe: () => {},
    onInternalError,
    writeProblem: writeHeaderOnlyProblem,
  };
  const serve: RequestListener = (request, response) => {
    // The forwarding daemon adds the date header of the caller's response.
    response.sendDate = false;
    serveRequest(request, response, pipeline);
  };
  app.all(`${ROUTED_PATH_PREFIX}/*`, (request, reply) => {
    reply.hijack();
    serve(request.raw, reply.raw);
  });
  addFastPath(app, `${ROUTED_PATH_PREFIX}/`, serve, isAuthorized);
}

/** Adds the routes for callers whose requests are matched by host and path. */
export function addRoutedCallerRoutes(
  app: FastifyInstance,
  protocol: CallerProtocol,
  factory: RoutedExchangeFactory,
  handle: ExchangeHandler,
  observe: ExchangeObserver,
  onInternalError: InternalErrorHandler,
): void {
  app.addContentTypeParser('*', (_request, _payload, done) => {
    done(null);
  });
  const pipeline: RequestPipeline = {
    create: (raw, response) => factory.createFromCaller(raw, response),
    handle,
    observe,
    onInternalError,
    writeProblem: (response, problem) => {
      writeProtocolProblem(response, protocol, problem);
    },
  };
  const serve: RequestListener = (request, response) => {
    serveRequest(request, response, pipeline);
  };
  app.all('/*', (request, reply) => {
    reply.hijack();
    serve(request.raw, reply.raw);
  });
  addFastPath(app, '/', serve);
}

/** The functions with which one listener serves its requests. */
interface RequestPipeline {
  readonly create: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => Promise<E.Either<RequestRejection, Exchange>>;
  readonly handle: ExchangeHandler;
  readonly observe: ExchangeObserver;
  readonly onInternalError: InternalErrorHandler;
  readonly writeProblem: (response: ServerResponse, problem: Problem) => void;
}

function serveRequest(
  request: IncomingMessage,
  response: ServerResponse,
  pipeline: RequestPipeline,
): void {
  runRequest(request, response, pipeline).catch((error: unknown) => {
    pipeline.onInternalError(error);
    // The outcome is unknown; callers must treat a closed connection that way.
    abortResponse(response);
  });
}

async function runRequest(
  request: IncomingMessage,
  response: ServerResponse,
  pipeline: RequestPipeline,
): Promise<void> {
  const {create, handle, observe} = pipeline;
  const created = await create(request, response);
  if (E.isLeft(created)) {
    const {status, message, offerShare} = created.left;
    pipeline.writeProblem(response, {
      status,
      outcome: 'not-run',
      message,
      retryAfterMs:
        status === SERVICE_UNAVAILABLE ? SERVICE_UNAVAILABLE_RETRY_AFTER_MS : 0,
      isConnectionClosing: !request.complete,
      ...(offerShare === undefined ? {} : {offerShare}),
    });
    return;
  }
  const exchange = created.right;
  const result = await handle(exchange).catch((error: unknown) =>
    createInternalError(error),
  );
  observe(exchange, result);
  if (result.kind === 'answered' || response.destroyed) return;
  pipeline.writeProblem(response, {
    ...createProblem(result.failure),
    isConnectionClosing: !request.complete,
  });
}

function createHttpProblem(status: number, reason: string): Problem {
  const message =
    status === 431
      ? createMessage('DD3031')
      : createMessage('DD3030', {reason});
  return {
    status,
    outcome: 'not-run',
    message,
    retryAfterMs: 0,
    isConnectionClosing: true,
  };
}

interface ClientError extends Error {
  readonly code?: string;
}

/**
 * Responds to input that is not valid HTTP, or whose head is too large or too slow. When a request is
 * in progress on the connection, it may have run, so the connection is destroyed without a response that
 * would claim `not-run`.
 */
function writeClientError(error: ClientError, socket: Socket): void {
  const {_httpMessage: activeResponse} = socket as {_httpMessage?: unknown};
  const isBusy = activeResponse !== undefined && activeResponse !== null;
  if (isBusy || !socket.writable) {
    socket.destroy();
    return;
  }
  const status = getClientErrorStatus(error.code);
  const problem = createHttpProblem(status, getErrorText(error));
  socket.end(formatRawProblemResponse(problem));
}

function getClientErrorStatus(code: string | undefined): number {
  if (code === 'HPE_HEADER_OVERFLOW') return 431;
  return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 408 : 400;
}

function createProblem(failure: AttemptFailure): Problem {
  const {outcome, code, text, retryAfterMs, ownerGeneration, offerShare} =
    failure;
  return {
    status: chooseStatus(failure),
    outcome,
    message: {code, text},
    retryAfterMs,
    ...(ownerGeneration === undefined ? {} : {generation: ownerGeneration}),
    ...(offerShare === undefined ? {} : {offerShare}),
  };
}

function chooseStatus(failure: AttemptFailure): number {
  switch (failure.code) {
    case 'DD3007':
    case 'DD3006':
      return 504;
    case 'DD3009':
      return 502;
    case 'DD3011':
    case 'DD3012':
    case 'DD3025':
    case 'DD3035':
      return 429;
    case 'DD3018':
    case 'DD3020':
    case 'DD3027':
      return 409;
    case 'DD3017':
      return 421;
    case 'DD3015':
      return 413;
    case 'DD3029':
      return 422;
    case 'DD3028':
      return 502;
    case 'DD3099':
      return 500;
    default:
      // A 503 promises that the request was not run.
      return failure.outcome === 'unknown' ? 502 : 503;
  }
}

function refuseSchema(): never {
  throw new Error('Routes of a listener cannot have schemas.');
}
