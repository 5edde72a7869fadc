/**
 * Header names, and the rules for which headers are forwarded.
 */

/** Prefix of the headers that only daemons may set. */
export const INTERNAL_PREFIX = 'dottereldrift-';

/** Outcome of the request: `completed`, `not-run` or `unknown`. */
export const OUTCOME_HEADER = 'dottereldrift-outcome';
/** Code of the message that explains the outcome. */
export const CODE_HEADER = 'dottereldrift-code';
/** Generation of the assignment known to the owner that responds. */
export const GENERATION_HEADER = 'dottereldrift-generation';
/** Time after which the caller should retry, in milliseconds. */
export const RETRY_AFTER_MS_HEADER = 'dottereldrift-retry-after-ms';
/** Time left for the request, in milliseconds. */
export const REMAINING_HEADER = 'dottereldrift-remaining-ms';
/** Identity of the caller, used for fair queueing. */
export const CALLER_HEADER = 'dottereldrift-caller';
/** The caller's `authorization` header while a request is forwarded between daemons. */
export const FORWARDED_AUTHORIZATION_HEADER = 'dottereldrift-authorization';
/** Generation under which the request was first routed. */
export const FIRST_GENERATION_HEADER = 'dottereldrift-first-generation';
/** Service, kind and key that a route selected, sent from the entry to the owner. */
export const ROUTED_HEADER = 'dottereldrift-routed';
/** Number of requests that an offer to another daemon stands for; 1 if absent. */
export const OFFERED_REQUESTS_HEADER = 'dottereldrift-offered-requests';
/** Share of its requests of a kind that a daemon should offer to the one that responds; 1 if absent. */
export const OFFER_SHARE_HEADER = 'dottereldrift-offer-share';
/** Start of the slice that a request belongs to. */
export const SLICE_HEADER = 'dottereldrift-slice';
/** Fencing token of the slice. */
export const TOKEN_HEADER = 'dottereldrift-token';
/** Wall-clock time at which the owner's lease ends, in milliseconds since the Unix epoch. */
export const LEASE_END_HEADER = 'dottereldrift-lease-end-unix-ms';
/** Monotonic time of the host at which the owner's lease ends, in milliseconds. */
export const LEASE_END_MONOTONIC_HEADER =
  'dottereldrift-lease-end-monotonic-ms';
/** Set by a backend server that refuses a request without running it. */
export const REFUSED_HEADER = 'dottereldrift-refused';
/** Time that the caller allows for the request, in milliseconds. */
export const DEADLINE_HEADER = 'request-deadline-ms';
/** Key by which duplicates of a request are recognized. */
export const IDEMPOTENCY_HEADER = 'idempotency-key';
/** Wall-clock time at which the caller first sent the request, in milliseconds since the epoch. */
export const FIRST_SENT_HEADER = 'request-first-sent-unix-ms';
/** Generation by which an embedded client first routed the request. */
export const FIRST_GENERATION_CALLER_HEADER = 'request-first-generation';

/** Formats a share for its header. */
export function formatOfferShare(share: number): string {
  return share.toFixed(3);
}

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Header values by lower-case name. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>;

/** Returns the headers to forward, without hop-by-hop headers and internal headers. */
export function filterHeaders(
  headers: HeaderMap,
): Record<string, string | string[]> {
  const connectionNames = getConnectionHeaderNames(headers);
  const forwarded: Record<string, string | string[]> = {};
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) continue;
    if (name.startsWith(INTERNAL_PREFIX) || connectionNames.includes(name))
      continue;
    forwarded[name] = value;
  }
  return forwarded;
}

/** Source of a request: a caller, or another daemon, whose internal headers are trusted. */
export type RequestSource = 'caller' | 'peer';

/**
 * Returns the headers of a received request that go on to a backend server. A request of another daemon bears the
 * fleet's key as credentials, and those of its caller under a separate name; the key goes no further.
 */
export function createPassedHeaders(
  headers: HeaderMap,
  source: RequestSource,
): Record<string, string | string[]> {
  const passed = filterHeaders(headers);
  if (source === 'caller') return passed;
  delete passed['authorization'];
  const authorization = getHeader(headers, FORWARDED_AUTHORIZATION_HEADER);
  if (authorization !== undefined) passed['authorization'] = authorization;
  return passed;
}

/** Alternating header names and values, in the format of undici. */
export type HeaderList = string[];

/** Appends a header with all its values to a list. */
export function addHeader(
  list: HeaderList,
  name: string,
  value: string | readonly string[],
): void {
  if (typeof value === 'string') list.push(name, value);
  else for (const item of value) list.push(name, item);
}

/** Returns the first value of a header; undefined when it is absent. */
export function getHeader(
  headers: HeaderMap,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

const NO_NAMES: readonly string[] = [];

function getConnectionHeaderNames(headers: HeaderMap): readonly string[] {
  const value = headers['connection'];
  if (value === undefined || value === 'keep-alive') return NO_NAMES;
  return String(value)
    .split(',')
    .map(name => name.trim().toLowerCase());
}
