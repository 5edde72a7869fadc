/**
 * Writes answers to HTTP connections: what a backend server answered, or a problem of our own.
 */
import {type ServerResponse, STATUS_CODES} from 'node:http';

import type {Message} from '@dottereldrift/core/messages.js';
import type {Outcome} from '@dottereldrift/core/types.js';

import type {CallerProtocol} from './caller_protocol.js';
import type {AnswerSink} from './exchange.js';
import {
  CODE_HEADER,
  GENERATION_HEADER,
  OUTCOME_HEADER,
  RETRY_AFTER_MS_HEADER,
} from './headers.js';

const MS_PER_SECOND = 1_000;

/** Media type of problems. */
export const PROBLEM_TYPE = 'application/problem+json';

/** Passes a backend server's answer on to a connection. */
export class HttpAnswer implements AnswerSink {
  private isStarted = false;
  private bytes = 0;

  constructor(private readonly response: ServerResponse) {}

  startAnswer(
    status: number,
    headers: Record<string, string | string[]>,
  ): void {
    this.isStarted = true;
    this.response.writeHead(status, headers);
  }

  writeChunk(chunk: Buffer): boolean {
    this.bytes += chunk.byteLength;
    return this.response.write(chunk);
  }

  waitForDrain(callback: () => void): void {
    this.response.once('drain', callback);
  }

  endAnswer(trailers: Readonly<Record<string, string | string[]>>): void {
    const pairs = listPairs(trailers);
    if (pairs.length > 0) this.response.addTrailers(pairs);
    this.response.end();
  }

  abort(): void {
    this.response.destroy();
  }

  /** Bytes of the body that were passed on. */
  getBytes(): number {
    return this.bytes;
  }

  /** Tells whether the head of an answer has been written. */
  hasStarted(): boolean {
    return this.isStarted;
  }
}

function listPairs(
  headers: Readonly<Record<string, string | string[]>>,
): Array<[string, string]> {
  return Object.entries(headers).flatMap(([name, value]) =>
    [value].flat().map((one): [string, string] => [name, one]),
  );
}

/** An answer that this daemon gives itself. */
export interface Problem {
  readonly status: number;
  readonly outcome: Outcome;
  readonly message: Message;
  readonly retryAfterMs: number;
  /** Generation of the assignment that the answering owner knows. */
  readonly generation?: number;
  /** Whether the connection ends with the answer, because the request was not read to its end. */
  readonly isLast?: boolean;
}

/**
 * Writes a problem as `application/problem+json`. When an answer has already begun, the connection is
 * broken instead, so that the caller sees that the answer is not whole.
 */
export function writeProblem(response: ServerResponse, problem: Problem): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const {status, outcome, message, retryAfterMs, generation} = problem;
  const body = formatProblem(problem);
  response.writeHead(status, {
    'content-type': PROBLEM_TYPE,
    'content-length': Buffer.byteLength(body),
    [OUTCOME_HEADER]: outcome,
    [CODE_HEADER]: message.code,
    ...(problem.isLast === true ? {connection: 'close'} : {}),
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
 * Writes a problem for another daemon, which reads the headers alone: of a refusal between data centres
 * every byte is paid for.
 */
export function writeBareProblem(
  response: ServerResponse,
  {status, outcome, message, retryAfterMs, generation, isLast}: Problem,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  response.writeHead(status, {
    'content-length': 0,
    [OUTCOME_HEADER]: outcome,
    [CODE_HEADER]: message.code,
    ...(isLast === true ? {connection: 'close'} : {}),
    ...(retryAfterMs > 0
      ? {[RETRY_AFTER_MS_HEADER]: String(retryAfterMs)}
      : {}),
    ...(generation === undefined
      ? {}
      : {[GENERATION_HEADER]: String(generation)}),
  });
  response.end();
}

/** Writes a problem in the form of another protocol of callers. */
export function writeForeignProblem(
  response: ServerResponse,
  protocol: CallerProtocol,
  problem: Problem,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const {status, headers} = protocol.createProblemHead(problem);
  const body = formatProblem(problem);
  response.writeHead(status, {
    'content-type': PROBLEM_TYPE,
    'content-length': Buffer.byteLength(body),
    [CODE_HEADER]: problem.message.code,
    ...headers,
    ...(problem.isLast === true ? {connection: 'close'} : {}),
  });
  response.end(body);
}

/** Returns a problem as a whole answer, for a connection that ends with it. */
export function formatLastProblem(
  problem: Problem,
  status = problem.status,
  headers: Readonly<Record<string, string>> = {},
): string {
  const {outcome, message, retryAfterMs} = problem;
  const body = formatProblem(problem);
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

/** Returns the body of a problem. */
export function formatProblem(problem: Problem): string {
  const {status, outcome, message} = problem;
  return JSON.stringify({
    type: `urn:dottereldrift:${message.code}`,
    title: message.text,
    status,
    outcome,
    code: message.code,
  });
}
