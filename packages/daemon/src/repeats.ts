/**
 * Repeats of requests that are not idempotent: how a request is named in the window of idempotency
 * keys, how a repeat is answered, and what is noted at the end.
 */
import {createHash} from 'node:crypto';

import {formatMessage, type MessageCode} from '@dottereldrift/core/messages.js';
import type {
  EntryState,
  IdempotencyWindow,
  KeptAnswer,
  RequestName,
} from '@dottereldrift/limits/idempotency_window.js';

import type {AttemptResult, Exchange, RequestBody} from './exchange.js';

/** Time after which a repeat of a running request is worth another try. */
const REPEAT_RETRY_MS = 50;
const FINGERPRINT_BYTES = 16;
const NAME_SEPARATOR = '\0';

/**
 * Returns the name of a request in its service's window. A key of the ring has idempotency keys of its
 * own, whoever owns it; method, path and body tell whether a repeat is one.
 */
export function createRequestName(
  exchange: Pick<Exchange, 'method' | 'target' | 'body' | 'headers'>,
  idempotencyKey: string,
): RequestName {
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

/** A streamed body is not at hand; its length stands for it. */
function formatBody(body: RequestBody, headers: Exchange['headers']): string {
  return body.kind === 'none'
    ? ''
    : `stream of ${String(headers['content-length'] ?? 'unknown')}`;
}

/** Answers a repeat from what the window knows. */
export function answerRepeat(
  exchange: Exchange,
  state: EntryState,
  answerHeaders: Readonly<Record<string, string>>,
): AttemptResult {
  if (state.kind === 'running') return failUnknown('DD3020', REPEAT_RETRY_MS);
  if (state.kind === 'unknown') return failUnknown('DD3018', 0);
  return replayAnswer(exchange, state.answer, answerHeaders);
}

/** Notes how a request ended. */
export function recordEnd(
  window: IdempotencyWindow,
  name: RequestName,
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
    ...groupPairs(kept.headerPairs),
    ...answerHeaders,
  });
  if (kept.body.byteLength > 0)
    exchange.answer.writeChunk(Buffer.from(kept.body));
  exchange.answer.endAnswer({});
  return {kind: 'answered', status: kept.status, isCut: false};
}

/** Returns headers by name; a name that comes more than once has all its values. */
function groupPairs(
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
