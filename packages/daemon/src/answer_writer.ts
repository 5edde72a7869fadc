/**
 * Writes HTTP responses: those of backend servers, and problem responses that the daemon generates.
 */
import {type ServerResponse, STATUS_CODES} from 'node:http';

import type {Message} from '@dottereldrift/core/messages.js';
import type {Outcome} from '@dottereldrift/core/types.js';
import type {
  EgressPacer,
  EgressTransfer,
} from '@dottereldrift/limits/egress_pacer.js';

import type {CallerProtocol} from './caller_protocol.js';
import type {AnswerSink} from './exchange.js';
import {
  CODE_HEADER,
  formatOfferShare,
  GENERATION_HEADER,
  OFFER_SHARE_HEADER,
  OUTCOME_HEADER,
  RETRY_AFTER_MS_HEADER,
} from './headers.js';

const MS_PER_SECOND = 1_000;
/** Bytes of a response that are written without pacing. */
const UNPACED_BYTES = 8 * 1_024;

/** Media type of problem responses. */
export const PROBLEM_TYPE = 'application/problem+json';

/** Forwards a backend server's response to an HTTP response. */
export class HttpAnswer implements AnswerSink {
  private isStarted = false;
  private bytes = 0;
  private transfer: EgressTransfer | undefined;

  constructor(
    private readonly response: ServerResponse,
    /** Paces large responses; undefined if this host's responses are not paced. */
    private readonly pacer?: EgressPacer,
  ) {}

  startAnswer(
    status: number,
    headers: Record<string, string | string[]>,
  ): void {
    this.isStarted = true;
    this.response.writeHead(status, headers);
  }

  writeChunk(chunk: Buffer): boolean {
    this.bytes += chunk.byteLength;
    if (this.transfer === undefined && this.bytes > UNPACED_BYTES)
      this.transfer = this.startTransfer();
    return this.transfer === undefined
      ? this.response.write(chunk)
      : this.transfer.writeChunk(chunk);
  }

  waitForDrain(callback: () => void): void {
    if (this.transfer === undefined) this.response.once('drain', callback);
    else this.transfer.waitForDrain(callback);
  }

  endAnswer(trailers: Readonly<Record<string, string | string[]>>): void {
    const pairs = listHeaderPairs(trailers);
    const end = () => {
      if (pairs.length > 0) this.response.addTrailers(pairs);
      this.response.end();
    };
    if (this.transfer === undefined) end();
    else this.transfer.end(end);
  }

  abort(): void {
    this.transfer?.cancel();
    abortResponse(this.response);
  }

  private startTransfer(): EgressTransfer | undefined {
    const {pacer, response} = this;
    // The end of a closed response is not notified again, so it would stay in the queue.
    if (pacer === undefined || response.destroyed) return undefined;
    const transfer = pacer.startTransfer({
      write: chunk => response.write(chunk),
      waitForDrain: callback => {
        response.once('drain', callback);
      },
    });
    response.once('close', () => {
      transfer.cancel();
    });
    return transfer;
  }

  /** Returns the number of body bytes forwarded so far. */
  getBytes(): number {
    return this.bytes;
  }

  /** Returns whether the response head has been written. */
  hasStarted(): boolean {
    return this.isStarted;
  }
}

/**
 * Closes the connection of a response that is not complete. To a caller that speaks HTTP/1.0, an orderly end of
 * the connection is the end of the body.
 */
export function abortResponse(response: ServerResponse): void {
  if (response.req.httpVersion === '1.0') response.socket?.resetAndDestroy();
  response.destroy();
}

function listHeaderPairs(
  headers: Readonly<Record<string, string | string[]>>,
): Array<[string, string]> {
  return Object.entries(headers).flatMap(([name, value]) =>
    [value].flat().map((one): [string, string] => [name, one]),
  );
}

/** An error response that this daemon generates. */
export interface Problem {
  readonly status: number;
  readonly outcome: Outcome;
  readonly message: Message;
  readonly retryAfterMs: number;
  /** Generation of the assignment known to the owner that responds. */
  readonly generation?: number;
  /** Share of its requests of this kind that the daemon that asked should offer to this one. */
  readonly offerShare?: number;
  /** Whether the connection is closed after the response, because the request was not read to its end. */
  readonly isConnectionClosing?: boolean;
}

/**
 * Writes a problem as `application/problem+json`. If a response has already started, destroys the
 * connection instead, so that the caller sees that the response is truncated.
 */
export function writeProblem(response: ServerResponse, problem: Problem): void {
  if (response.headersSent) {
    abortResponse(response);
    return;
  }
  const {status, outcome, message, retryAfterMs, generation} = problem;
  const body = formatProblemBody(problem);
  response.writeHead(status, {
    'content-type': PROBLEM_TYPE,
    'content-length': Buffer.byteLength(body),
    [OUTCOME_HEADER]: outcome,
    [CODE_HEADER]: message.code,
    ...(problem.isConnectionClosing === true ? {connection: 'close'} : {}),
    ...(retryAfterMs > 0
      ? {
          'retry-after': String(Math.ceil(retryAfterMs / MS_PER_SECOND)),
          [RETRY_AFTER_MS_HEADER]: String(retryAfterMs),
        }
      : {}),
    ...(generation === undefined
      ? {}
      : {[GENERATION_HEADER]: String(generation)}),
  });
  response.end(body);
}

/**
 * Writes a problem for another daemon, which reads only the headers. The body is left out because
 * traffic between data centres is billed by the byte.
 */
export function writeHeaderOnlyProblem(
  response: ServerResponse,
  {
    status,
    outcome,
    message,
    retryAfterMs,
    generation,
    offerShare = 1,
    isConnectionClosing,
  }: Problem,
): void {
  if (response.headersSent) {
    abortResponse(response);
    return;
  }
  response.writeHead(status, {
    'content-length': 0,
    [OUTCOME_HEADER]: outcome,
    [CODE_HEADER]: message.code,
    ...(isConnectionClosing === true ? {connection: 'close'} : {}),
    ...(retryAfterMs > 0
      ? {[RETRY_AFTER_MS_HEADER]: String(retryAfterMs)}
      : {}),
    ...(generation === undefined
      ? {}
      : {[GENERATION_HEADER]: String(generation)}),
    ...(offerShare < 1
      ? {[OFFER_SHARE_HEADER]: formatOfferShare(offerShare)}
      : {}),
  });
  response.end();
}

/** Writes a problem with the status and headers that another caller protocol prescribes. */
export function writeProtocolProblem(
  response: ServerResponse,
  protocol: CallerProtocol,
  problem: Problem,
): void {
  if (response.headersSent) {
    abortResponse(response);
    return;
  }
  const {status, headers} = protocol.createProblemHead(problem);
  const body = formatProblemBody(problem);
  response.writeHead(status, {
    'content-type': PROBLEM_TYPE,
    'content-length': Buffer.byteLength(body),
    [CODE_HEADER]: problem.message.code,
    ...headers,
    ...(problem.isConnectionClosing === true ? {connection: 'close'} : {}),
  });
  response.end(body);
}

/** Formats a problem as a raw HTTP response after which the connection is closed. */
export function formatRawProblemResponse(
  problem: Problem,
  status = problem.status,
  headers: Readonly<Record<string, string>> = {},
): string {
  const {outcome, message, retryAfterMs} = problem;
  const body = formatProblemBody(problem);
  const fields = {
    'content-type': PROBLEM_TYPE,
    'content-length': String(Buffer.byteLength(body)),
    [OUTCOME_HEADER]: outcome,
    [CODE_HEADER]: message.code,
    ...(retryAfterMs > 0
      ? {[RETRY_AFTER_MS_HEADER]: String(retryAfterMs)}
      : {}),
    ...headers,
    connection: 'close',
  };
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    ...Object.entries(fields).map(([name, value]) => `${name}: ${value}`),
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

/** Formats the JSON body of a problem response. */
export function formatProblemBody(problem: Problem): string {
  const {status, outcome, message} = problem;
  return JSON.stringify({
    type: `urn:dottereldrift:${message.code}`,
    title: message.text,
    status,
    outcome,
    code: message.code,
  });
}
