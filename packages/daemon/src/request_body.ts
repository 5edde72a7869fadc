/**
 * Reads the body of a request: a short one is buffered, so that it can be resent, and a long one is streamed.
 * Also detects that the caller has disconnected.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import * as E from 'fp-ts/lib/Either.js';

import {
  createMessage,
  type Message,
  type MessageCode,
} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';

import {AbandonmentSignal} from './abandonment_signal.js';
import type {RequestBody} from './exchange.js';
import type {Limits} from './settings.js';
import {Upload} from './upload.js';

/** Status and message of the response to a request that cannot be handled. */
export interface RequestRejection {
  readonly status: number;
  readonly message: Message;
  /** Share of its requests of this kind that the daemon that asked should offer to this one. */
  readonly offerShare?: number;
}

/** Reads a body; one that is buffered must arrive within the deadline. */
export async function readBody(
  system: System,
  limits: Limits,
  request: IncomingMessage,
  deadlineMs: number,
): Promise<E.Either<RequestRejection, RequestBody>> {
  const length = request.headers['content-length'];
  const hasBody =
    request.headers['transfer-encoding'] !== undefined ||
    Number(length ?? 0) > 0;
  if (!hasBody) return E.right({kind: 'none'});
  const declared = length === undefined ? Infinity : Number(length);
  if (declared !== Infinity && declared > limits.bodyBytes)
    return E.left(createBodyTooLarge(limits));
  if (declared > limits.bufferedBodyBytes) {
    const upload = new Upload(request, limits.bodyBytes);
    return E.right({kind: 'stream', upload});
  }
  return bufferBody(system, request, deadlineMs);
}

/** Buffers a body of bounded length, which must arrive within the deadline. */
function bufferBody(
  system: System,
  request: IncomingMessage,
  deadlineMs: number,
): Promise<E.Either<RequestRejection, RequestBody>> {
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

function createBodyTooLarge(limits: Limits): RequestRejection {
  return {
    status: 413,
    message: createMessage('DD3015', {limitBytes: limits.bodyBytes}),
  };
}

/**
 * Tells whether the caller disconnected right after sending its request. The end of a connection is read one
 * turn of the event loop after the bytes before it, so a delayed daemon reads a request before it can see
 * that the caller no longer waits for the response.
 */
export function hasDisconnected(request: IncomingMessage): Promise<boolean> {
  return new Promise(resolve => {
    // Waits for the rest of this turn and for the next one, which reads the end of a connection.
    setImmediate(() => {
      setImmediate(() => {
        resolve(isDisconnected(request));
      });
    });
  });
}

/** Tells whether the end of the connection has been read from the caller. */
export function isDisconnected(request: IncomingMessage): boolean {
  return request.destroyed || request.socket.readableEnded;
}

/** Detects that the caller disconnects before its response is complete. */
export function watchAbandonment(
  request: IncomingMessage,
  response: ServerResponse,
): AbandonmentSignal {
  const abandonment = new AbandonmentSignal();
  response.once('close', () => {
    if (!response.writableFinished) abandonment.recordDisconnect();
  });
  request.once('error', () => {
    abandonment.recordDisconnect();
  });
  return abandonment;
}
