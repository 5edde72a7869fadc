/**
 * Reads the body of a request: a short one as a whole, so that it can be sent again, a long one as it
 * arrives. Watches whether the caller leaves.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import * as E from 'fp-ts/lib/Either.js';

import {
  createMessage,
  type Message,
  type MessageCode,
} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';

import {Abandonment} from './abandonment.js';
import type {RequestBody} from './exchange.js';
import type {Limits} from './settings.js';
import {Upload} from './upload.js';

/** A request that cannot be handled, with the status to answer. */
export interface BadRequest {
  readonly status: number;
  readonly message: Message;
}

/** Reads a body, within the deadline where it is read as a whole. */
export async function readBody(
  system: System,
  limits: Limits,
  request: IncomingMessage,
  deadlineMs: number,
): Promise<E.Either<BadRequest, RequestBody>> {
  const length = request.headers['content-length'];
  const hasBody =
    request.headers['transfer-encoding'] !== undefined ||
    Number(length ?? 0) > 0;
  if (!hasBody) return E.right({kind: 'none'});
  const declared = length === undefined ? Infinity : Number(length);
  if (declared !== Infinity && declared > limits.bodyBytes)
    return E.left(refuseBody(limits));
  if (declared > limits.bufferedBodyBytes) {
    const upload = new Upload(request, limits.bodyBytes);
    return E.right({kind: 'stream', upload});
  }
  return bufferBody(system, request, deadlineMs);
}

/** Reads a body of bounded length, within the deadline. */
function bufferBody(
  system: System,
  request: IncomingMessage,
  deadlineMs: number,
): Promise<E.Either<BadRequest, RequestBody>> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    const fail = (status: number, code: MessageCode) => {
      cancel();
      resolve(E.left({status, message: createMessage(code, {deadlineMs})}));
    };
    const cancel = system.startTimer(deadlineMs, () => {
      fail(504, 'DD3006');
    });
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.once('end', () => {
      cancel();
      resolve(E.right({kind: 'buffered', bytes: Buffer.concat(chunks)}));
    });
    request.once('error', () => {
      fail(400, 'DD3022');
    });
    request.once('close', () => {
      fail(400, 'DD3022');
    });
  });
}

function refuseBody(limits: Limits): BadRequest {
  return {
    status: 413,
    message: createMessage('DD3015', {limitBytes: limits.bodyBytes}),
  };
}

/**
 * Waits until what a caller did right after its request has been read. Returns whether it has left. The
 * end of a connection is read one turn of the event loop after the bytes before it, so a daemon that was
 * held up reads a request first and learns only then that nobody waits for it.
 */
export function hasLeft(request: IncomingMessage): Promise<boolean> {
  return new Promise(resolve => {
    // The rest of this turn of the event loop, and the one that reads the end of a connection.
    setImmediate(() => {
      setImmediate(() => {
        resolve(isGone(request));
      });
    });
  });
}

/** Tells whether the end of the caller's side of a connection has been read. */
export function isGone(request: IncomingMessage): boolean {
  return request.destroyed || request.socket.readableEnded;
}

/** Watches whether the caller leaves before its answer is whole. */
export function watchAbandonment(
  request: IncomingMessage,
  response: ServerResponse,
): Abandonment {
  const abandonment = new Abandonment();
  response.once('close', () => {
    if (!response.writableFinished) abandonment.record();
  });
  request.once('error', () => {
    abandonment.record();
  });
  return abandonment;
}
