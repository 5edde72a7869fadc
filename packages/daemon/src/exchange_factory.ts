/**
 * Creates an exchange from an HTTP request: validates path, key, headers and body, and looks its rules up
 * in the manifest.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import * as E from 'fp-ts/lib/Either.js';
import * as O from 'fp-ts/lib/Option.js';

import {createMessage} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';
import type {EgressPacer} from '@dottereldrift/limits/egress_pacer.js';
import {findKind} from '@dottereldrift/manifest/kind_match.js';
import type {
  Manifest,
  RequestKind,
  ServiceRules,
} from '@dottereldrift/manifest/types.js';
import {parseTarget} from '@dottereldrift/routing/request_target.js';
import type {RequestTarget} from '@dottereldrift/routing/types.js';

import {HttpAnswer} from './answer_writer.js';
import type {Exchange} from './exchange.js';
import {
  CALLER_HEADER,
  createPassedHeaders,
  DEADLINE_HEADER,
  FIRST_GENERATION_CALLER_HEADER,
  FIRST_GENERATION_HEADER,
  FIRST_SENT_HEADER,
  getHeader,
  type HeaderMap,
  IDEMPOTENCY_HEADER,
  REMAINING_HEADER,
  type RequestSource,
} from './headers.js';
import {
  type RequestRejection,
  readBody,
  watchAbandonment,
} from './request_body.js';
import type {Limits} from './settings.js';

const MAX_DEADLINE_MS = 600_000;
const MAX_KEY_LENGTH = 1_024;
const MAX_IDEMPOTENCY_KEY_LENGTH = 256;

interface MatchedRules {
  readonly target: RequestTarget;
  readonly rules: ServiceRules;
  readonly kind: RequestKind;
}

interface CheckedHeaders {
  readonly deadlineMs: number | undefined;
  readonly idempotencyKey: string | undefined;
  readonly firstGeneration: number | undefined;
  readonly firstSentWallMs: number | undefined;
}

/** Creates exchanges from requests that name a service and, if it is divided by key, a key. */
export class ExchangeFactory {
  constructor(
    private readonly system: System,
    private readonly limits: Limits,
    private readonly getManifest: () => Manifest | undefined,
    private readonly pacer?: EgressPacer,
  ) {}

  /** Validates a request and buffers its body if it is short enough to be kept for retries. */
  async createExchange(
    request: IncomingMessage,
    response: ServerResponse,
    source: RequestSource,
  ): Promise<E.Either<RequestRejection, Exchange>> {
    const found = this.findRules(request);
    if (E.isLeft(found)) return found;
    const checked = checkHeaders(request.headers, source);
    if (E.isLeft(checked)) return checked;
    const receivedAt = this.system.getNow();
    const abandonment = watchAbandonment(request, response);
    const {target, rules, kind} = found.right;
    const deadlineMs = checked.right.deadlineMs ?? kind.deadlineMs;
    const body = await readBody(this.system, this.limits, request, deadlineMs);
    if (E.isLeft(body)) return body;
    return E.right({
      method: request.method ?? 'GET',
      target,
      rules,
      kind,
      headers: createPassedHeaders(request.headers, source),
      body: body.right,
      receivedAt,
      deadlineAtMs: receivedAt.monotonicMs + deadlineMs,
      caller: getCaller(request, source),
      idempotencyKey: checked.right.idempotencyKey,
      firstGeneration: checked.right.firstGeneration,
      firstSentWallMs: checked.right.firstSentWallMs,
      answer: new HttpAnswer(response, this.pacer),
      abandonment,
    });
  }

  private findRules(
    request: IncomingMessage,
  ): E.Either<RequestRejection, MatchedRules> {
    const parsed = parseTarget(request.url ?? '/');
    if (E.isLeft(parsed)) return E.left({status: 400, message: parsed.left});
    const target = parsed.right;
    const manifest = this.getManifest();
    if (manifest === undefined)
      return E.left({status: 503, message: createMessage('DD3023')});
    const rules = Object.hasOwn(manifest.services, target.service)
      ? manifest.services[target.service]
      : undefined;
    if (rules === undefined) {
      return E.left({
        status: 404,
        message: createMessage('DD3001', {service: target.service}),
      });
    }
    if (!isTargetValid(target, rules)) {
      return E.left({
        status: 400,
        message: createMessage('DD3003', {path: target.path}),
      });
    }
    const method = request.method ?? 'GET';
    const kind = findKind(rules, method, target.path);
    if (O.isNone(kind)) {
      const values = {service: target.service, method, path: target.path};
      return E.left({status: 404, message: createMessage('DD3002', values)});
    }
    return E.right({target, rules, kind: kind.value});
  }
}

function isTargetValid(target: RequestTarget, rules: ServiceRules): boolean {
  const hasKey = target.key !== undefined;
  if (hasKey !== (rules.division === 'byKey')) return false;
  return (target.key?.length ?? 0) <= MAX_KEY_LENGTH;
}

function checkHeaders(
  headers: HeaderMap,
  source: RequestSource,
): E.Either<RequestRejection, CheckedHeaders> {
  const isPeer = source === 'peer';
  const deadlineName = isPeer ? REMAINING_HEADER : DEADLINE_HEADER;
  const generationName = isPeer
    ? FIRST_GENERATION_HEADER
    : FIRST_GENERATION_CALLER_HEADER;
  const deadline = parseInteger(
    headers,
    deadlineName,
    isPeer ? 0 : 1,
    MAX_DEADLINE_MS,
  );
  if (E.isLeft(deadline)) return deadline;
  const generation = parseInteger(
    headers,
    generationName,
    0,
    Number.MAX_SAFE_INTEGER,
  );
  if (E.isLeft(generation)) return generation;
  const firstSent = parseInteger(
    headers,
    FIRST_SENT_HEADER,
    0,
    Number.MAX_SAFE_INTEGER,
  );
  if (E.isLeft(firstSent)) return firstSent;
  const idempotencyKey = getHeader(headers, IDEMPOTENCY_HEADER);
  const isKeyValid =
    idempotencyKey === undefined ||
    (idempotencyKey.length > 0 &&
      idempotencyKey.length <= MAX_IDEMPOTENCY_KEY_LENGTH);
  if (!isKeyValid) {
    const reason = `its length must be from 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH}`;
    return E.left(createHeaderError(IDEMPOTENCY_HEADER, reason));
  }
  return E.right({
    deadlineMs: deadline.right,
    idempotencyKey,
    firstGeneration: generation.right,
    firstSentWallMs: firstSent.right,
  });
}

function parseInteger(
  headers: HeaderMap,
  name: string,
  min: number,
  max: number,
): E.Either<RequestRejection, number | undefined> {
  const text = getHeader(headers, name);
  if (text === undefined) return E.right(undefined);
  const value = Number(text);
  const isValid = /^\d{1,16}$/.test(text) && value >= min && value <= max;
  if (isValid) return E.right(value);
  return E.left(
    createHeaderError(name, `it must be a whole number from ${min} to ${max}`),
  );
}

function createHeaderError(header: string, reason: string): RequestRejection {
  return {status: 400, message: createMessage('DD3013', {header, reason})};
}

function getCaller(request: IncomingMessage, source: RequestSource): string {
  const named =
    source === 'peer' ? getHeader(request.headers, CALLER_HEADER) : undefined;
  return named ?? request.socket.remoteAddress ?? '';
}
