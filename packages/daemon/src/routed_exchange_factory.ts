/**
 * Creates an exchange from a request for a host and path: a route selects the service, and the protocol of the
 * caller supplies deadline and key. The entry forwards its selection with the request, so that the owner
 * applies the configuration of the entry.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import * as E from 'fp-ts/lib/Either.js';
import * as O from 'fp-ts/lib/Option.js';

import {createMessage} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';
import type {ServiceName} from '@dottereldrift/core/types.js';
import type {EgressPacer} from '@dottereldrift/limits/egress_pacer.js';
import type {
  AcceptedManifest,
  Manifest,
  RequestKind,
  Route,
  ServiceRules,
} from '@dottereldrift/manifest/types.js';
import {
  chooseService,
  RouteSelector,
} from '@dottereldrift/routing/route_selection.js';
import type {RequestTarget} from '@dottereldrift/routing/types.js';

import {HttpAnswer} from './answer_writer.js';
import type {CallerProtocol} from './caller_protocol.js';
import type {Exchange, RoutedRequest} from './exchange.js';
import {
  createPassedHeaders,
  getHeader,
  type HeaderMap,
  OFFERED_REQUESTS_HEADER,
  REMAINING_HEADER,
  type RequestSource,
  ROUTED_HEADER,
} from './headers.js';
import type {LagGate} from './lag_gate.js';
import type {OfferAdvisor} from './offer_advisor.js';
import {
  type RequestRejection,
  hasDisconnected,
  isDisconnected,
  readBody,
  watchAbandonment,
} from './request_body.js';
import type {Limits} from './settings.js';
import {RequestStartQueue} from './request_start_queue.js';

/** Path prefix of routed requests on the peer listener. */
export const ROUTED_PATH_PREFIX = '/routed';

/** Data that the entry forwards to the owner with a routed request, in addition to its headers. */
interface RoutedEnvelope {
  readonly service: ServiceName;
  readonly origin: ServiceName;
  readonly goalMs: number;
  readonly kind: Pick<
    RequestKind,
    'name' | 'idempotent' | 'priority' | 'expectedServiceMs'
  >;
}

const ENVELOPE_FIELDS = 7;
/** Bounds the effect of one offer on the advice for all. */
const MAX_OFFERED_REQUESTS = 100;
const IDEMPOTENT_MARK = '1';

const OVERLOADED: RequestRejection = {
  status: 503,
  message: createMessage('DD3034'),
};
const DISCONNECTED: RequestRejection = {
  status: 503,
  message: createMessage('DD3022'),
};

/** An owner sends each request to its backend server once. */
const OWNER_ATTEMPTS = 1;
const NO_CONDITIONS = {};
/** Admits every request. */
const OPEN_GATE = {tryAdmit: () => true, observeStart: () => {}};

interface SelectedRoute {
  readonly target: RequestTarget;
  readonly rules: ServiceRules;
  readonly kind: RequestKind;
  readonly routed: RoutedRequest;
  readonly deadlineMs: number;
  /** Set if another daemon offered the request. */
  readonly offeredRequests?: number;
}

/** Creates exchanges from routed requests. */
export class RoutedExchangeFactory {
  private selector: RouteSelector | undefined;
  private selectorManifest: Manifest | undefined;
  private readonly turns: RequestStartQueue;

  constructor(
    private readonly system: System,
    private readonly limits: Limits,
    private readonly protocol: CallerProtocol,
    /** Returns the service whose backend server and callers run on this host. */
    private readonly getOrigin: () => ServiceName,
    private readonly getAccepted: () => AcceptedManifest | undefined,
    private readonly lagGate: Pick<
      LagGate,
      'tryAdmit' | 'observeStart'
    > = OPEN_GATE,
    private readonly pacer?: EgressPacer,
    private readonly advisor?: Pick<OfferAdvisor, 'refuseUnread'>,
  ) {
    this.turns = new RequestStartQueue(system);
  }

  /** Validates a caller's request and buffers its body if it is short enough to be kept for retries. */
  createFromCaller(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<E.Either<RequestRejection, Exchange>> {
    const selected = this.selectRoute(request);
    return this.createExchange(request, response, selected, 'caller');
  }

  /** Reads a request whose service was selected by another daemon. */
  createFromPeer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<E.Either<RequestRejection, Exchange>> {
    return this.createExchange(
      request,
      response,
      this.readSelectedRoute(request),
      'peer',
    );
  }

  private async createExchange(
    request: IncomingMessage,
    response: ServerResponse,
    selected: E.Either<RequestRejection, SelectedRoute>,
    source: RequestSource,
  ): Promise<E.Either<RequestRejection, Exchange>> {
    if (!this.lagGate.tryAdmit(source, this.turns.getOldestWaitMs()))
      return E.left(this.createOverloaded(selected));
    if (E.isLeft(selected)) return selected;
    const receivedAt = this.system.getNow();
    const abandonment = watchAbandonment(request, response);
    const {target, rules, kind, routed, deadlineMs, offeredRequests} =
      selected.right;
    if (await hasDisconnected(request)) return E.left(DISCONNECTED);
    if (!this.lagGate.tryAdmit(source, await this.turns.waitForTurn()))
      return E.left(this.createOverloaded(selected));
    if (isDisconnected(request)) return E.left(DISCONNECTED);
    this.lagGate.observeStart(source);
    const body = await readBody(this.system, this.limits, request, deadlineMs);
    if (E.isLeft(body)) return body;
    return E.right({
      target,
      rules,
      kind,
      routed,
      ...(offeredRequests === undefined ? {} : {offeredRequests}),
      method: request.method ?? 'GET',
      headers: createPassedHeaders(request.headers, source),
      body: body.right,
      receivedAt,
      deadlineAtMs: receivedAt.monotonicMs + deadlineMs,
      caller: routed.origin,
      idempotencyKey: undefined,
      firstGeneration: undefined,
      firstSentWallMs: undefined,
      answer: new HttpAnswer(response, this.pacer),
      abandonment,
    });
  }

  private selectRoute(
    request: IncomingMessage,
  ): E.Either<RequestRejection, SelectedRoute> {
    const manifest = this.getAccepted()?.manifest;
    if (manifest === undefined)
      return E.left({status: 503, message: createMessage('DD3023')});
    const authority = request.headers.host ?? '';
    const path = request.url ?? '/';
    const found = this.getSelector(manifest).findRoute(authority, path);
    if (O.isNone(found)) {
      const message = createMessage('DD3033', {host: authority, path});
      return E.left({status: 404, message});
    }
    const route = found.value;
    const service = chooseService(route, this.system.getRandom());
    const rules = manifest.services[service];
    if (rules === undefined)
      return E.left({status: 503, message: createMessage('DD3001', {service})});
    return E.right(this.createSelectedRoute(request, route, service, rules));
  }

  private createSelectedRoute(
    request: IncomingMessage,
    route: Route,
    service: ServiceName,
    rules: ServiceRules,
  ): SelectedRoute {
    const {requestId, deadlineMs, key} = this.protocol.parseRequest(
      request.headers,
    );
    const {kind, goalMs} = route;
    return {
      target: {service, key, path: request.url ?? '/'},
      rules,
      kind,
      routed: {
        protocol: this.protocol,
        authority: request.headers.host ?? '',
        requestId,
        origin: this.getOrigin(),
        goalMs,
      },
      deadlineMs: Math.min(kind.deadlineMs, deadlineMs ?? kind.deadlineMs),
    };
  }

  private readSelectedRoute(
    request: IncomingMessage,
  ): E.Either<RequestRejection, SelectedRoute> {
    const text = getHeader(request.headers, ROUTED_HEADER) ?? '';
    const envelope = parseEnvelope(text);
    if (envelope === undefined) {
      const values = {header: ROUTED_HEADER, reason: 'it cannot be parsed'};
      return E.left({status: 400, message: createMessage('DD3013', values)});
    }
    const {service, origin, goalMs} = envelope;
    const {requestId, key} = this.protocol.parseRequest(request.headers);
    const rules = this.getAccepted()?.manifest.services[service];
    if (rules === undefined)
      return E.left({status: 503, message: createMessage('DD3001', {service})});
    const path = (request.url ?? '').slice(ROUTED_PATH_PREFIX.length);
    const remaining = Number(getHeader(request.headers, REMAINING_HEADER));
    const deadlineMs = Number.isFinite(remaining) ? remaining : 0;
    const authority = request.headers.host ?? '';
    return E.right({
      target: {service, key, path},
      rules,
      kind: createOwnerKind(envelope.kind, deadlineMs),
      routed: {protocol: this.protocol, authority, requestId, origin, goalMs},
      deadlineMs,
      offeredRequests: readOfferedRequests(request.headers),
    });
  }

  private createOverloaded(
    selected: E.Either<RequestRejection, SelectedRoute>,
  ): RequestRejection {
    if (E.isLeft(selected)) return OVERLOADED;
    const {kind, offeredRequests} = selected.right;
    if (this.advisor === undefined || offeredRequests === undefined)
      return OVERLOADED;
    const offerShare = this.advisor.refuseUnread(kind.name, offeredRequests);
    return {...OVERLOADED, offerShare};
  }

  private getSelector(manifest: Manifest): RouteSelector {
    if (this.selector === undefined || this.selectorManifest !== manifest) {
      this.selector = new RouteSelector(manifest);
      this.selectorManifest = manifest;
    }
    return this.selector;
  }
}

/** Creates the request kind that an owner needs from the fields of the envelope. */
function createOwnerKind(
  {name, idempotent, priority, expectedServiceMs}: RoutedEnvelope['kind'],
  deadlineMs: number,
): RequestKind {
  return {
    name,
    match: NO_CONDITIONS,
    idempotent,
    deadlineMs,
    maxAttempts: OWNER_ATTEMPTS,
    priority,
    expectedServiceMs,
    objective: 1,
  };
}

/** Reads the number of requests that an offer stands for; 1 if it is absent or malformed. */
function readOfferedRequests(headers: HeaderMap): number {
  const requests = Number(getHeader(headers, OFFERED_REQUESTS_HEADER) ?? 1);
  return Number.isSafeInteger(requests) && requests > 0
    ? Math.min(requests, MAX_OFFERED_REQUESTS)
    : 1;
}

/** Formats the header value by which the selection of a routed request is sent to its owner. */
export function formatEnvelope(
  {service}: RequestTarget,
  {name, idempotent, priority, expectedServiceMs}: RequestKind,
  routed: RoutedRequest,
  /** Time that is left of the latency goal, in milliseconds. */
  goalMs = routed.goalMs,
): string {
  return [
    encodeURIComponent(service),
    encodeURIComponent(routed.origin),
    goalMs,
    encodeURIComponent(name),
    idempotent ? IDEMPOTENT_MARK : '0',
    priority,
    Math.round(expectedServiceMs),
  ].join(' ');
}

/** Parses the selection from a header value; undefined when it is malformed. */
export function parseEnvelope(text: string): RoutedEnvelope | undefined {
  const fields = text.split(' ');
  if (fields.length !== ENVELOPE_FIELDS) return undefined;
  const [
    service = '',
    origin = '',
    goalText,
    name = '',
    idempotentText,
    priorityText,
    serviceMsText,
  ] = fields;
  const goalMs = Number(goalText);
  const priority = Number(priorityText);
  const expectedServiceMs = Number(serviceMsText);
  const isValid =
    Number.isFinite(goalMs) &&
    Number.isFinite(priority) &&
    Number.isFinite(expectedServiceMs);
  if (!isValid) return undefined;
  const idempotent = idempotentText === IDEMPOTENT_MARK;
  return {
    service: decodeURIComponent(service),
    origin: decodeURIComponent(origin),
    goalMs,
    kind: {
      name: decodeURIComponent(name),
      idempotent,
      priority,
      expectedServiceMs,
    },
  };
}
