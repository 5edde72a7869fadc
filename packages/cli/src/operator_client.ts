/**
 * Client of a daemon's operator listener.
 */
import {readFileSync} from 'node:fs';

import * as E from 'fp-ts/lib/Either.js';
import {request} from 'undici';

import {getErrorText} from '@dottereldrift/core/errors.js';
import {formatAddress} from '@dottereldrift/core/member.js';
import {formatMessage} from '@dottereldrift/core/messages.js';
import {readSettings} from '@dottereldrift/daemon/settings.js';
import {formatValidationError} from '@dottereldrift/manifest/check.js';

/** Flags that select the daemon to call. */
export interface OperatorFlags {
  readonly settings?: string;
  readonly daemon?: string;
  readonly 'key-file'?: string;
}

/** Response of a daemon to an operator's call. */
export interface OperatorAnswer {
  /** Whether the daemon responded with a success status. */
  readonly isDone: boolean;
  /** The parsed response body. */
  readonly value: unknown;
  /** Error text for the operator; meaningful only when the call failed. */
  readonly errorText: string;
}

const CALL_TIMEOUT_MS = 5_000;

/** Sends authenticated calls to the operator listener of one daemon. */
export class OperatorClient {
  private constructor(
    private readonly address: string,
    private readonly key: string,
  ) {}

  /** Creates a client from flags; left holds an error text for the operator. */
  static tryCreate(flags: OperatorFlags): E.Either<string, OperatorClient> {
    if (flags.settings !== undefined) {
      const settings = readSettings(flags.settings);
      if (E.isLeft(settings))
        return E.left(settings.left.map(formatValidationError).join('\n'));
      const {operatorAddress, operatorKey} = settings.right;
      return E.right(
        new OperatorClient(formatAddress(operatorAddress), operatorKey),
      );
    }
    const keyFile = flags['key-file'];
    if (flags.daemon === undefined || keyFile === undefined) {
      const reason =
        'give --settings FILE, or --daemon IP:PORT and --key-file FILE';
      return E.left(formatMessage('DD1010', {reason}));
    }
    try {
      return E.right(
        new OperatorClient(flags.daemon, readFileSync(keyFile, 'utf8').trim()),
      );
    } catch (error) {
      return E.left(
        formatMessage('DD1001', {path: keyFile, reason: getErrorText(error)}),
      );
    }
  }

  /** Sends one request. Connection errors and time-outs are returned, not thrown. */
  async call(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<OperatorAnswer> {
    const headers: Record<string, string> = {
      authorization: `Bearer ${this.key}`,
    };
    if (body !== undefined) headers['content-type'] = 'application/json';
    try {
      const answer = await request(`http://${this.address}${path}`, {
        method,
        headers,
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      const text = await answer.body.text();
      const value: unknown = text === '' ? {} : JSON.parse(text);
      return {
        isDone: answer.statusCode < 300,
        value,
        errorText: formatErrorBody(value),
      };
    } catch (error) {
      const reason = getErrorText(error);
      const problem = formatMessage('DD5010', {address: this.address, reason});
      return {isDone: false, value: {}, errorText: problem};
    }
  }
}

function formatErrorBody(value: unknown): string {
  const {code, text, faults} = value as {
    readonly code?: string;
    readonly text?: string;
    readonly faults?: ReadonlyArray<{
      readonly path: string;
      readonly reason: string;
    }>;
  };
  const lines = (faults ?? []).map(formatValidationError);
  return [
    `${code ?? ''} ${text ?? JSON.stringify(value)}`.trim(),
    ...lines,
  ].join('\n');
}
