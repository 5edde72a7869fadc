/**
 * Table of all user-facing messages. Each has a code whose meaning never changes. `formatMessage` fills the
 * placeholders in braces.
 */

/** A user-facing message. */
export interface Message {
  readonly code: string;
  readonly text: string;
}

const messageTexts = {
  DD1001: 'Cannot read {path}: {reason}.',
  DD1002: '{path} is not valid JSON: {reason}.',
  DD1003: '{at}: {reason}.',
  DD1004: 'Faults of {path}: {count}.',
  DD1005: '{path} is valid.',
  DD1010: 'Bad usage: {reason}.',
  DD1011: 'The request body is not valid.',
  DD2001: 'The store is unavailable: {reason}.',
  DD2002: 'The store did not answer in time; the write may have taken effect.',
  DD2003: 'The object changed: expected version {expected}, found {found}.',
  DD2004: 'The store refused the call: {reason}.',
  DD2005: 'The budget of {budget} store calls per second is exhausted.',
  DD2006:
    'The expected version {expected} is of an earlier era of the store; it is in era {era}.',
  DD3001: 'No service named {service} is configured.',
  DD3002: 'No request kind of service {service} matches {method} {path}.',
  DD3003:
    'The path {path} does not have the form /services/SERVICE/keys/KEY/... or /services/SERVICE/....',
  DD3004: 'No live owner is known for this key; try again.',
  DD3005: 'The slice is moving to another host; try again.',
  DD3006: 'The deadline of {deadlineMs} ms passed before the request was run.',
  DD3007:
    'The deadline of {deadlineMs} ms passed while the request was running.',
  DD3008:
    'The connection to {peer} failed before the request was sent: {reason}.',
  DD3009:
    'The connection to {peer} failed after the request was sent: {reason}.',
  DD3010: 'The backend server refused the request before running it.',
  DD3011: 'The queue of {service} on {host} is full.',
  DD3012: 'The request cannot finish within its deadline at the current load.',
  DD3013: 'The header {header} is not valid: {reason}.',
  DD3014: 'The key is not valid percent-encoded UTF-8.',
  DD3015: 'The body is larger than the limit of {limitBytes} bytes.',
  DD3016: 'This daemon has lost its lease and runs no requests.',
  DD3017: 'This daemon does not own the slice of this key.',
  DD3018:
    'A request with this Idempotency-Key may have run under an earlier owner.',
  DD3019: 'The window of idempotency keys is full.',
  DD3020: 'A request with this Idempotency-Key is still running.',
  DD3021: 'This daemon is shutting down.',
  DD3022: 'The caller disconnected before the response was sent.',
  DD3023: 'No configuration has been accepted yet.',
  DD3024: 'No live backend server of service {service} is known.',
  DD3025: 'The request was dropped from the queue in favour of other requests.',
  DD3026: 'Retries are suspended because too many requests fail.',
  DD3027:
    'The request with this Idempotency-Key has run, but its response was not kept.',
  DD3028:
    'The response of {peer} has neither a content length nor chunked encoding, so truncation cannot be detected.',
  DD3029:
    'This Idempotency-Key was used for a request with another method, path or body.',
  DD3030: 'The request is not valid HTTP: {reason}.',
  DD3031: 'The request head is larger than the limit.',
  DD3032: '{peer} sent a response that belongs to another request.',
  DD3033: 'No route of the configuration covers {host}{path}.',
  DD3034: 'This daemon is overloaded; try again.',
  DD3035: 'The link of {host} cannot send the response of {service} in time.',
  DD3099: 'The daemon failed while handling the request: {reason}.',
  DD4001: 'The announcement is not valid.',
  DD4002:
    'Service {service} is not configured; the announcement is kept until it is.',
  DD4003: 'Only a server on this host may announce itself here.',
  DD4010: 'The key does not match.',
  DD5001:
    'The manifest, submitted as version {version}, is accepted as generation {generation}.',
  DD5002: 'The manifest is refused; faults: {count}.',
  DD5003:
    'The manifest changed: version {expected} was given, but the current version is {found}.',
  DD5004: 'Host {host} is not known.',
  DD5005: 'Host {host} is draining.',
  DD5006: 'Host {host} incarnation {incarnation} is fenced.',
  DD5007: 'The change may have taken effect; read it back before trying again.',
  DD5008:
    'The manifest, submitted as version {version}, has not been validated yet; query it again with get.',
  DD5010: 'Cannot reach the daemon at {address}: {reason}.',
} as const;

/** Code of a message. */
export type MessageCode = keyof typeof messageTexts;

/** Values for the placeholders of a message. */
export type MessageValues = Readonly<Record<string, string | number>>;

/** Returns the text of a message with its placeholders filled. Placeholders without a value are kept. */
export function formatMessage(
  code: MessageCode,
  values: MessageValues = {},
): string {
  const text: string = messageTexts[code];
  return text.replace(/\{(\w+)\}/g, (whole, name: string) => {
    const value = values[name];
    return value === undefined ? whole : String(value);
  });
}

/** Returns the message of a code with its placeholders filled. */
export function createMessage(
  code: MessageCode,
  values: MessageValues = {},
): Message {
  return {code, text: formatMessage(code, values)};
}

/** Returns the codes of all messages. */
export function getMessageCodes(): readonly MessageCode[] {
  return Object.keys(messageTexts) as MessageCode[];
}
