/**
 * Every message that a person sees, in one table, each with a code that never changes meaning.
 * Placeholders in braces are filled by `formatMessage`.
 */

/** A message that a person may see. */
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
  DD1011: 'The body of the call is not valid.',
  DD2001: 'The store is unavailable: {reason}.',
  DD2002: 'The store did not answer in time; the write may have taken effect.',
  DD2003: 'The object changed: expected version {expected}, found {found}.',
  DD2004: 'The store refused the call: {reason}.',
  DD2005: 'The budget of {budget} store calls a second is spent.',
  DD3001: 'No service named {service} is configured.',
  DD3002: 'No kind of request of service {service} matches {method} {path}.',
  DD3003:
    'The path {path} is not of the form /services/SERVICE/keys/KEY/... or /services/SERVICE/....',
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
  DD3012: 'The request cannot finish within its deadline at the present load.',
  DD3013: 'The header {header} is not valid: {reason}.',
  DD3014: 'The key is not valid percent-encoded UTF-8.',
  DD3015: 'The body is larger than the limit of {limitBytes} bytes.',
  DD3016: 'This daemon has lost its lease; it runs nothing.',
  DD3017: 'This daemon does not own the slice of this key.',
  DD3018:
    'A request with this Idempotency-Key may have run under an earlier owner.',
  DD3019: 'The window of idempotency keys is full.',
  DD3020: 'A request with this Idempotency-Key is still running.',
  DD3021: 'This daemon is shutting down.',
  DD3022: 'The caller left before the answer.',
  DD3023: 'No configuration has been accepted yet.',
  DD3024: 'No live backend server of service {service} is known.',
  DD3025: 'The request was dropped from the queue in favour of others.',
  DD3026: 'Retries are held back: too many requests fail.',
  DD3027:
    'The answer to this Idempotency-Key was not kept; the request has run.',
  DD3028:
    'The answer of {peer} has neither a length nor chunks, so its end cannot be told from a cut.',
  DD3029:
    'This Idempotency-Key was used for a request with another method, path or body.',
  DD3030: 'The request is not valid HTTP: {reason}.',
  DD3031: 'The head of the request is larger than the limit.',
  DD3032: '{peer} sent an answer that belongs to another request.',
  DD3033: 'No route of the configuration covers {host}{path}.',
  DD3034: 'This daemon is behind with its work; try again.',
  DD3099: 'The daemon failed while it handled the request: {reason}.',
  DD4001: 'The announcement is not valid.',
  DD4002:
    'Service {service} is not configured; the announcement is kept until it is.',
  DD4003: 'Only a server on this host may announce itself here.',
  DD4010: 'The key given does not match.',
  DD5001:
    'The manifest, submitted as version {version}, is accepted as generation {generation}.',
  DD5002: 'The manifest is refused; faults: {count}.',
  DD5003:
    'The manifest changed: you gave version {expected}, the present version is {found}.',
  DD5004: 'Host {host} is not known.',
  DD5005: 'Host {host} is draining.',
  DD5006: 'Host {host} incarnation {incarnation} is fenced.',
  DD5007: 'The change may have been made; read it back before trying again.',
  DD5008:
    'The manifest, submitted as version {version}, has not been judged yet; ask again with get.',
  DD5010: 'Cannot reach the daemon at {address}: {reason}.',
} as const;

/** Code of a message in the table. */
export type MessageCode = keyof typeof messageTexts;

/** Values for the placeholders of a message. */
export type MessageValues = Readonly<Record<string, string | number>>;

/** Returns the text of a message with its placeholders filled. */
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

/** Returns the message of a code, ready to be shown. */
export function createMessage(
  code: MessageCode,
  values: MessageValues = {},
): Message {
  return {code, text: formatMessage(code, values)};
}

/** Returns every code of the table. */
export function getMessageCodes(): readonly MessageCode[] {
  return Object.keys(messageTexts) as MessageCode[];
}
