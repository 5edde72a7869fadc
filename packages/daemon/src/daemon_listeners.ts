/**
 * Opens the four listeners of a daemon: for callers, peers, backend servers and operators.
 */
import type {FastifyInstance} from 'fastify';

import {createMessage} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';
import type {Address} from '@dottereldrift/core/types.js';

import {KeyCheck} from './access.js';
import {formatLastProblem, type Problem} from './answer_writer.js';
import type {Entry} from './entry.js';
import {ExchangeFactory} from './exchange_factory.js';
import {SHORT_RETRY_MS} from './failures.js';
import type {HostPlatform} from './host_platform.js';
import {ListenerDrain} from './listener_drain.js';
import {addOperatorRoutes, type OperatorParts} from './operator_listener.js';
import type {Owner} from './owner.js';
import {addPeerRoutes, type PeerServiceParts} from './peer_listener.js';
import {
  addRequestRoutes,
  addRoutedCallerRoutes,
  addRoutedPeerRoutes,
  createListener,
  type DefectWriter,
  type ExchangeObserver,
} from './request_listener.js';
import {addRouteRoutes} from './route_listener.js';
import {RoutedExchangeFactory} from './routed_exchange_factory.js';
import {addServerRoutes} from './server_listener.js';
import type {ServerRegistry} from './server_registry.js';
import type {Settings} from './settings.js';

const UNAVAILABLE = 503;
/** Time after which a caller finds another daemon, in milliseconds. */
const ROUTED_RETRY_AFTER_MS = 250;

const NO_REFUSAL = '';

/** Tells a request that comes to a closing listener that it was not run. */
const CLOSING_PROBLEM: Problem = {
  status: UNAVAILABLE,
  outcome: 'not-run',
  message: createMessage('DD3021'),
  retryAfterMs: SHORT_RETRY_MS,
};

/** What the listeners answer from. */
export interface ListenerParts {
  readonly settings: Settings;
  readonly system: System;
  readonly entry: Entry;
  readonly owner: Owner;
  readonly registry: ServerRegistry;
  readonly operators: OperatorParts;
  readonly peers: PeerServiceParts;
  readonly observe: ExchangeObserver;
  readonly writeDefect: DefectWriter;
  /** The platform, where it has interfaces of its own. */
  readonly platform: HostPlatform | undefined;
  /** Tells whether callers are served here. */
  readonly isReady: () => boolean;
  /** Tells whether this daemon is too late with its work to begin what has waited for some milliseconds. */
  readonly isBehind: (waitedMs: number) => boolean;
}

/** Listeners that are open. */
export interface OpenListeners {
  /** Listeners on which no requests of callers arrive. */
  readonly others: readonly ListenerDrain[];
  /** Drains of the listeners on which requests arrive; each closes its listener. */
  readonly drains: readonly ListenerDrain[];
}

/** Opens every listener; rejects when an address is taken. */
export async function openListeners(
  parts: ListenerParts,
): Promise<OpenListeners> {
  const {settings, system} = parts;
  const {view} = parts.operators;
  const factory = new ExchangeFactory(
    system,
    settings.limits,
    () => view.getManifest()?.manifest,
  );
  const {platform} = parts;
  const routed = platform && createRoutedFactory(parts, platform);
  const callers = createCallerListener(parts, factory);
  const peers = await createPeerListener(parts, factory, routed);
  const servers = createListener(settings.limits);
  addJsonParser(servers);
  if (platform === undefined)
    addServerRoutes(servers, settings.serverAddress.ip, parts.registry);
  else platform.addServerRoutes(servers, parts.registry);
  const operators = createListener(settings.limits);
  addJsonParser(operators);
  addOperatorRoutes(operators, settings.operatorKey, parts.operators);
  const routedCallers =
    platform && routed && createRoutedListener(parts, platform, routed);
  const refusal = formatLastProblem(CLOSING_PROBLEM);
  const drains = [callers, peers].map(
    app => new ListenerDrain(system, app, refusal),
  );
  if (platform && routedCallers)
    drains.push(createRoutedDrain(system, routedCallers, platform));
  await listen(peers, settings.peerAddress);
  await listen(callers, settings.callerAddress);
  await listen(servers, settings.serverAddress);
  await listen(operators, settings.operatorAddress);
  const others = [servers, operators].map(app => createPlainDrain(system, app));
  if (platform === undefined || routedCallers === undefined)
    return {others, drains};
  const ready = createReadyListener(parts, platform);
  await listen(ready, platform.readyAddress);
  await listen(routedCallers, platform.routedAddress);
  return {others: [...others, createPlainDrain(system, ready)], drains};
}

/** Creates the drain of a listener on which no requests of callers arrive. */
function createPlainDrain(system: System, app: FastifyInstance): ListenerDrain {
  return new ListenerDrain(system, app, NO_REFUSAL);
}

/** Creates the drain of a listener whose callers have a protocol of their own. */
function createRoutedDrain(
  system: System,
  app: FastifyInstance,
  {protocol}: HostPlatform,
): ListenerDrain {
  const problem = {...CLOSING_PROBLEM, retryAfterMs: ROUTED_RETRY_AFTER_MS};
  const {status, headers} = protocol.createProblemHead(problem);
  const refusal = formatLastProblem(problem, status, headers);
  return new ListenerDrain(system, app, refusal);
}

function createRoutedFactory(
  parts: ListenerParts,
  platform: HostPlatform,
): RoutedExchangeFactory {
  const {settings, system, operators} = parts;
  return new RoutedExchangeFactory(
    system,
    settings.limits,
    platform.protocol,
    () => platform.getOrigin(),
    () => operators.view.getManifest(),
    parts.isBehind,
  );
}

function createRoutedListener(
  parts: ListenerParts,
  platform: HostPlatform,
  factory: RoutedExchangeFactory,
): FastifyInstance {
  const app = createListener(parts.settings.limits);
  const {view} = parts.operators;
  addRoutedCallerRoutes(
    app,
    platform.protocol,
    factory,
    exchange => parts.entry.handle(exchange),
    parts.observe,
    parts.writeDefect,
  );
  view.addListener(() => {
    const limits = view.getManifest()?.manifest.callerLimits;
    if (limits === undefined) return;
    app.server.keepAliveTimeout = limits.idleTimeoutMs;
    app.server.headersTimeout = limits.headerTimeoutMs;
  });
  return app;
}

/** Answers whether callers are served here, and shows the metrics. */
function createReadyListener(
  parts: ListenerParts,
  platform: HostPlatform,
): FastifyInstance {
  const app = createListener(parts.settings.limits);
  app.get('/ready', (_request, reply) =>
    reply.code(parts.isReady() ? 200 : 503).send(''),
  );
  app.get('/metrics', (_request, reply) => {
    reply.type('text/plain; version=0.0.4');
    return platform.metrics.getText();
  });
  return app;
}

function createCallerListener(
  parts: ListenerParts,
  factory: ExchangeFactory,
): FastifyInstance {
  const app = createListener(parts.settings.limits);
  addRouteRoutes(app, parts.operators.view);
  addRequestRoutes(
    app,
    'caller',
    factory,
    exchange => parts.entry.handle(exchange),
    parts.observe,
    parts.writeDefect,
  );
  return app;
}

async function createPeerListener(
  parts: ListenerParts,
  factory: ExchangeFactory,
  routed: RoutedExchangeFactory | undefined,
): Promise<FastifyInstance> {
  const {settings, owner} = parts;
  const app = createListener(settings.limits);
  await addPeerRoutes(app, settings.peerKey, parts.peers);
  addRequestRoutes(
    app,
    'peer',
    factory,
    exchange => owner.handle(exchange),
    () => {},
    parts.writeDefect,
  );
  if (routed !== undefined) {
    const access = new KeyCheck(settings.peerKey);
    addRoutedPeerRoutes(
      app,
      routed,
      exchange => owner.handle(exchange),
      parts.writeDefect,
      ({headers}) => access.isAuthorized(headers.authorization),
    );
  }
  return app;
}

async function listen(app: FastifyInstance, address: Address): Promise<void> {
  await app.listen({host: address.ip, port: address.port});
}

function addJsonParser(app: FastifyInstance): void {
  app.addContentTypeParser(
    'application/json',
    {parseAs: 'string'},
    app.getDefaultJsonParser('error', 'error'),
  );
}
