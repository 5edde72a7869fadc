/**
 * Opens the listeners of a daemon for callers, peers, backend servers and operators, and on a platform
 * those for routed callers and readiness checks.
 */
import type {FastifyInstance} from 'fastify';

import {createMessage} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';
import type {Address} from '@dottereldrift/core/types.js';
import type {EgressPacer} from '@dottereldrift/limits/egress_pacer.js';

import {KeyVerifier} from './key_verifier.js';
import {formatRawProblemResponse, type Problem} from './answer_writer.js';
import type {Entry} from './entry.js';
import {ExchangeFactory} from './exchange_factory.js';
import {SHORT_RETRY_MS} from './failures.js';
import type {HostPlatform} from './host_platform.js';
import type {LagGate} from './lag_gate.js';
import {ListenerDrain} from './listener_drain.js';
import {
  addOperatorRoutes,
  type OperatorDependencies,
} from './operator_listener.js';
import type {OfferAdvisor} from './offer_advisor.js';
import type {Owner} from './owner.js';
import {addPeerRoutes, type PeerServiceDependencies} from './peer_listener.js';
import {
  addRequestRoutes,
  addRoutedCallerRoutes,
  addRoutedPeerRoutes,
  createListener,
  type ExchangeHandler,
  type InternalErrorHandler,
  type ExchangeObserver,
} from './request_listener.js';
import {addRoutingTableRoute} from './route_listener.js';
import {RoutedExchangeFactory} from './routed_exchange_factory.js';
import {addServerRoutes} from './server_listener.js';
import type {ServerRegistry} from './server_registry.js';
import type {Settings} from './settings.js';
import type {ShutdownGate} from './shutdown_gate.js';

const SERVICE_UNAVAILABLE = 503;
/** Retry delay for routed callers; by then they have been directed to another daemon. */
const ROUTED_RETRY_AFTER_MS = 250;

const NO_REFUSAL = '';

/** Response to a request that reaches a listener while it closes. */
const CLOSING_PROBLEM: Problem = {
  status: SERVICE_UNAVAILABLE,
  outcome: 'not-run',
  message: createMessage('DD3021'),
  retryAfterMs: SHORT_RETRY_MS,
};

/** Components that the listeners use. */
export interface ListenerDependencies {
  readonly settings: Settings;
  readonly system: System;
  readonly entry: Entry;
  readonly owner: Owner;
  readonly registry: ServerRegistry;
  readonly shutdownGate: ShutdownGate;
  readonly operators: OperatorDependencies;
  readonly peers: PeerServiceDependencies;
  readonly observe: ExchangeObserver;
  readonly onInternalError: InternalErrorHandler;
  /** Undefined when the daemon runs without a platform. */
  readonly platform: HostPlatform | undefined;
  /** Returns whether this daemon accepts requests of callers. */
  readonly isReady: () => boolean;
  readonly lagGate: LagGate;
  readonly offerAdvisor: OfferAdvisor;
  /** Undefined when this host's responses are not paced. */
  readonly pacer: EgressPacer | undefined;
}

/** Drains of the open listeners; each closes its listener. */
export interface OpenListeners {
  /** Drains of the listeners that receive no caller requests. */
  readonly controlDrains: readonly ListenerDrain[];
  /** Drains of the listeners that receive caller requests, directly or through peers. */
  readonly requestDrains: readonly ListenerDrain[];
}

/** Opens every listener; rejects when an address is already in use. */
export async function openListeners(
  parts: ListenerDependencies,
): Promise<OpenListeners> {
  const {settings, system} = parts;
  const {view} = parts.operators;
  const factory = new ExchangeFactory(
    system,
    settings.limits,
    () => view.getManifest()?.manifest,
    parts.pacer,
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
  const refusal = formatRawProblemResponse(CLOSING_PROBLEM);
  const requestDrains = [callers, peers].map(
    app => new ListenerDrain(system, app, refusal),
  );
  if (platform && routedCallers)
    requestDrains.push(createRoutedDrain(system, routedCallers, platform));
  await listen(peers, settings.peerAddress);
  await listen(callers, settings.callerAddress);
  await listen(servers, settings.serverAddress);
  await listen(operators, settings.operatorAddress);
  const controlDrains = [servers, operators].map(app =>
    createControlDrain(system, app),
  );
  if (platform === undefined || routedCallers === undefined)
    return {controlDrains, requestDrains};
  const ready = createReadyListener(parts, platform);
  await listen(ready, platform.readyAddress);
  await listen(routedCallers, platform.routedAddress);
  return {
    controlDrains: [...controlDrains, createControlDrain(system, ready)],
    requestDrains,
  };
}

/** Creates the drain of a listener that receives no caller requests. */
function createControlDrain(
  system: System,
  app: FastifyInstance,
): ListenerDrain {
  return new ListenerDrain(system, app, NO_REFUSAL);
}

/** Creates the drain of the routed listener, whose refusal follows the platform's protocol. */
function createRoutedDrain(
  system: System,
  app: FastifyInstance,
  {protocol}: HostPlatform,
): ListenerDrain {
  const problem = {...CLOSING_PROBLEM, retryAfterMs: ROUTED_RETRY_AFTER_MS};
  const {status, headers} = protocol.createProblemHead(problem);
  const refusal = formatRawProblemResponse(problem, status, headers);
  return new ListenerDrain(system, app, refusal);
}

function createRoutedFactory(
  parts: ListenerDependencies,
  platform: HostPlatform,
): RoutedExchangeFactory {
  const {settings, system, operators} = parts;
  return new RoutedExchangeFactory(
    system,
    settings.limits,
    platform.protocol,
    () => platform.getOrigin(),
    () => operators.view.getManifest(),
    parts.lagGate,
    parts.pacer,
    parts.offerAdvisor,
  );
}

function createRoutedListener(
  parts: ListenerDependencies,
  platform: HostPlatform,
  factory: RoutedExchangeFactory,
): FastifyInstance {
  const app = createListener(parts.settings.limits);
  const {view} = parts.operators;
  addRoutedCallerRoutes(
    app,
    platform.protocol,
    factory,
    createCallerHandler(parts),
    parts.observe,
    parts.onInternalError,
  );
  view.addListener(() => {
    const limits = view.getManifest()?.manifest.callerLimits;
    if (limits === undefined) return;
    app.server.keepAliveTimeout = limits.idleTimeoutMs;
    app.server.headersTimeout = limits.headerTimeoutMs;
  });
  return app;
}

/** Creates the listener for readiness checks and metrics. */
function createReadyListener(
  parts: ListenerDependencies,
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
  parts: ListenerDependencies,
  factory: ExchangeFactory,
): FastifyInstance {
  const app = createListener(parts.settings.limits);
  addRoutingTableRoute(app, parts.operators.view);
  addRequestRoutes(
    app,
    'caller',
    factory,
    createCallerHandler(parts),
    parts.observe,
    parts.onInternalError,
  );
  return app;
}

function createCallerHandler({
  entry,
  shutdownGate,
}: ListenerDependencies): ExchangeHandler {
  return exchange =>
    shutdownGate.handle(exchange, 'caller', one => entry.handle(one));
}

async function createPeerListener(
  parts: ListenerDependencies,
  factory: ExchangeFactory,
  routed: RoutedExchangeFactory | undefined,
): Promise<FastifyInstance> {
  const {settings, owner, shutdownGate, offerAdvisor} = parts;
  const handlePeer: ExchangeHandler = exchange =>
    shutdownGate.handle(exchange, 'peer', one =>
      offerAdvisor.handle(one, offered => owner.handle(offered)),
    );
  const app = createListener(settings.limits);
  await addPeerRoutes(app, settings.peerKey, parts.peers);
  addRequestRoutes(
    app,
    'peer',
    factory,
    handlePeer,
    () => {},
    parts.onInternalError,
  );
  if (routed !== undefined) {
    const keyVerifier = new KeyVerifier(settings.peerKey);
    addRoutedPeerRoutes(
      app,
      routed,
      handlePeer,
      parts.onInternalError,
      ({headers}) => keyVerifier.isAuthorized(headers.authorization),
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
