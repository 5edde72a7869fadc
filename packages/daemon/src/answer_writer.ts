/**
 * Writes answers to HTTP connections: what a backend server answered, or a problem of our own.
 */
import type {ServerResponse} from 'node:http';

import type {Message} from '@dottereldrift/core/messages.js';
import type {Outcome} from '@dottereldrift/core/types.js';

import type {AnswerSink} from './exchange.js';
import {CODE_HEADER, GENERATION_HEADER, OUTCOME_HEADER} from './headers.js';

const MS_PER_SECOND = 1_000;

/** Passes a backend server's answer on to a connection. */
export class HttpAnswer implements AnswerSink {
  private isStarted = false;

  constructor(private readonly response: ServerResponse) {}

  startAnswer(
    status: number,
    headers: Record<string, string | string[]>,
  ): void {
    this.isStarted = true;
    this.response.writeHead(status, headers);
  }

  writeChunk(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  waitForDrain(callback: () => void): void {
    this.response.once('drain', callback);
  }

  endAnswer(): void {
    this.response.end();
  }

  abort(): void {
    this.response.destroy();
  }

  /** Tells whether the head of an answer has been written. */
  hasStarted(): boolean {
    return this.isStarted;
  }
}

/** An answer that this daemon gives itself. */
export interface Problem {
  readonly status: number;
  readonly outcome: Outcome;
  readonly message: Message;
  readonly retryAfterMs: number;
  /** Generation of the assignment that the answering owner knows. */
  readonly generation?: number;
}

/** Writes a problem as `application/problem+json`. */
export function writeProblem(response: ServerResponse, problem: Problem): void {
  const {status, outcome, message, retryAfterMs, generation} = problem;
  const body = JSON.stringify({
    type: `urn:dottereldrift:${message.code}`,
    title: message.text,
    status,
    outcome,
    code: message.code,
  });
  response.writeHead(status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
    [OUTCOME_HEADER]: outcome,
    [CODE_HEADER]: message.code,
    ...(retryAfterMs > 0
      ? {'retry-after': String(retryAfterMs / MS_PER_SECOND)}
      : {}),
    ...(generation === undefined
      ? {}
      : {[GENERATION_HEADER]: String(generation)}),
  });
  response.end(body);
}
