/**
 * Detection of duplicates of requests that are not idempotent: names a request in the idempotency window,
 * answers duplicates and records outcomes.
 */
import {createHash} from 'node:crypto';

import {formatMessage, type MessageCode} from '@dottereldrift/core/messages.js';
import type {
  EntryState,
  IdempotencyWindow,
  KeptAnswer,
  RequestIdentity,
} from '@dottereldrift/limits/idempotency_window.js';

import type {AttemptResult, Exchange, RequestBody} from './exchange.js';

/** Retry delay advised for a duplicate of a running request. */
const DUPLICATE_RETRY_MS = 50;
const FINGERPRINT_BYTES = 16;
const NAME_SEPARATOR = '\0';

/**
 * Returns the name of a request in the window of its service. Idempotency keys are scoped to the ring key,
 * regardless of its owner; a fingerprint of method, path and body tells duplicates from other requests that
 * reuse the key.
 */
export function createRequestName(
  exchange: Pick<Exchange, 'method' | 'target' | 'body' | 'headers'>,
  idempotencyKey: string,
): RequestIdentity {
  const {method, target, body, headers} = exchange;
  const hash = createHash('sha256').update(`${method} ${target.path}\n`);
  if (body.kind === 'buffered') hash.update(body.bytes);
  else hash.update(formatBody(body, headers));
  const digest = hash.digest().subarray(0, FINGERPRINT_BYTES);
  return {
    idempotencyKey: `${target.key ?? ''}${NAME_SEPARATOR}${idempotencyKey}`,
    fingerprint: digest.toString('base64url'),
  };
}

/** Represents a body in the fingerprint; a streamed body is not in memory, so its length is used. */
function formatBody(body: RequestBody, headers: Exchange['headers']): string {
  return body.kind === 'none'
    ? ''
    : `stream of ${String(headers['content-length'] ?? 'unknown')}`;
}

/** Answers a duplicate request according to its entry in the window. */
export function answerDuplicate(
  exchange: Exchange,
  state: EntryState,
  answerHeaders: Readonly<Record<string, string>>,
): AttemptResult {
  if (state.kind === 'running')
    return failUnknown('DD3020', DUPLICATE_RETRY_MS);
  if (state.kind === 'unknown') return failUnknown('DD3018', 0);
  return replayAnswer(exchange, state.answer, answerHeaders);
}

/** Records the outcome of a request in the window. */
export function recordOutcome(
  window: IdempotencyWindow,
  name: RequestIdentity,
  result: AttemptResult,
): void {
  const key = name.idempotencyKey;
  if (result.kind === 'failed' && result.failure.outcome === 'not-run') {
    window.cancelRequest(key);
  } else if (result.kind === 'failed') {
    window.finishRequest(key, {kind: 'unknown'});
  } else {
    const {status, kept} = result;
    const answer = {
      status,
      headerPairs: kept?.headerPairs ?? [],
      body: kept?.body,
    };
    window.finishRequest(key, {kind: 'finished', answer});
  }
}

function replayAnswer(
  exchange: Exchange,
  kept: KeptAnswer,
  answerHeaders: Readonly<Record<string, string>>,
): AttemptResult {
  if (kept.body === undefined) return failUnknown('DD3027', 0);
  exchange.answer.startAnswer(kept.status, {
    ...groupHeaderPairs(kept.headerPairs),
    ...answerHeaders,
  });
  if (kept.body.byteLength > 0)
    exchange.answer.writeChunk(Buffer.from(kept.body));
  exchange.answer.endAnswer({});
  return {kind: 'answered', status: kept.status, isTruncated: false};
}

/** Groups header pairs by name; a name that occurs more than once gets an array of its values. */
function groupHeaderPairs(
  pairs: readonly string[],
): Record<string, string | string[]> {
  const grouped = new Map<string, string[]>();
  for (let index = 0; index + 1 < pairs.length; index += 2) {
    const name = pairs[index] ?? '';
    grouped.set(name, [...(grouped.get(name) ?? []), pairs[index + 1] ?? '']);
  }
  const entries = [...grouped].map(([name, values]) => [
    name,
    values.length === 1 ? (values[0] ?? '') : values,
  ]);
  return Object.fromEntries(entries) as Record<string, string | string[]>;
}

function failUnknown(code: MessageCode, retryAfterMs: number): AttemptResult {
  const text = formatMessage(code);
  return {
    kind: 'failed',
    failure: {outcome: 'unknown', code, text, retryAfterMs},
  };
}
