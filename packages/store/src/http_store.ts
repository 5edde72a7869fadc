/**
 * Client of the object store's HTTP interface. It retries reads but never writes: a lost response leaves the
 * outcome of a write unknown, and only the caller knows how to resolve it.
 */
import * as E from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';
import {Pool} from 'undici';

import {getErrorText} from '@dottereldrift/core/errors.js';
import {formatMessage} from '@dottereldrift/core/messages.js';
import {type System, waitFor} from '@dottereldrift/core/system.js';

import type {CallBudget} from './call_budget.js';
import {createCallFailure} from './call_failure.js';
import type {
  ListResult,
  ObjectChange,
  ObjectStore,
  ObjectVersion,
  StoreFailure,
  StoredObject,
  WatchResult,
} from './types.js';
import {formatVersion} from './version.js';

/** Header for the version of an object. */
export const VERSION_HEADER = 'object-version';
/** Header for the version at which the object was written; absent if it equals the version of the object. */
export const ORIGIN_HEADER = 'object-origin';
/** Header for the version that a conditional update expects. */
export const EXPECTED_VERSION_HEADER = 'expected-version';

const CALL_TIMEOUT_MS = 2_000;
const WATCH_GRACE_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
const MAX_CONNECTIONS = 8;
const MAX_READ_ATTEMPTS = 3;
const FIRST_RETRY_DELAY_MS = 50;

interface Reply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Uint8Array;
}

interface Call {
  readonly method: 'GET' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: Uint8Array;
  readonly timeoutMs: number;
}

interface ListBody {
  readonly revision: number;
  readonly objects: ReadonlyArray<{
    readonly key: string;
    readonly version: number;
    readonly origin?: number;
    readonly value: string;
  }>;
}

interface WatchBody {
  readonly revision: number;
  readonly changes: readonly ObjectChange[];
  readonly isReset: boolean;
}

/** Object store accessed over HTTP. */
export class HttpStore implements ObjectStore {
  private readonly pool: Pool;

  constructor(
    baseUrl: string,
    private readonly system: System,
    private readonly budget: CallBudget,
  ) {
    this.pool = new Pool(baseUrl, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
    });
  }

  getObject(key: string): TaskEither<StoreFailure, StoredObject | undefined> {
    return async () => {
      const path = formatObjectPath(key);
      const reply = await this.tryRead({
        method: 'GET',
        path,
        timeoutMs: CALL_TIMEOUT_MS,
      });
      if (E.isLeft(reply)) return reply;
      if (reply.right.status === 404) return E.right(undefined);
      if (reply.right.status !== 200) return E.left(parseFailure(reply.right));
      return E.right({
        key,
        version: parseVersion(reply.right),
        ...parseOrigin(reply.right),
        value: reply.right.body,
      });
    };
  }

  listObjects(prefix: string): TaskEither<StoreFailure, ListResult> {
    return async () => {
      const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
      const reply = await this.tryRead({
        method: 'GET',
        path,
        timeoutMs: CALL_TIMEOUT_MS,
      });
      if (E.isLeft(reply)) return reply;
      if (reply.right.status !== 200) return E.left(parseFailure(reply.right));
      const body = parseJson<ListBody>(reply.right);
      if (E.isLeft(body)) return body;
      const objects = body.right.objects.map(object => ({
        ...object,
        value: Buffer.from(object.value, 'base64'),
      }));
      return E.right({revision: body.right.revision, objects});
    };
  }

  updateObject(
    key: string,
    expectedVersion: ObjectVersion,
    value: Uint8Array,
  ): TaskEither<StoreFailure, ObjectVersion> {
    return () => this.tryWrite('PUT', key, expectedVersion, value);
  }

  deleteObject(
    key: string,
    expectedVersion: ObjectVersion,
  ): TaskEither<StoreFailure, ObjectVersion> {
    return () => this.tryWrite('DELETE', key, expectedVersion, undefined);
  }

  watchObjects(
    prefix: string,
    afterRevision: ObjectVersion,
    waitMs: number,
  ): TaskEither<StoreFailure, WatchResult> {
    return async () => {
      const query = `prefix=${encodeURIComponent(prefix)}&after=${afterRevision}&waitMs=${waitMs}`;
      const timeoutMs = waitMs + WATCH_GRACE_MS;
      const reply = await this.tryCall({
        method: 'GET',
        path: `/watch?${query}`,
        timeoutMs,
      });
      if (E.isLeft(reply)) return reply;
      if (reply.right.status !== 200) return E.left(parseFailure(reply.right));
      return parseJson<WatchBody>(reply.right);
    };
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async tryWrite(
    method: 'PUT' | 'DELETE',
    key: string,
    expectedVersion: ObjectVersion,
    value: Uint8Array | undefined,
  ): Promise<E.Either<StoreFailure, ObjectVersion>> {
    const call: Call = {
      method,
      path: formatObjectPath(key),
      headers: {[EXPECTED_VERSION_HEADER]: String(expectedVersion)},
      timeoutMs: CALL_TIMEOUT_MS,
      ...(value === undefined ? {} : {body: value}),
    };
    const reply = await this.tryCall(call);
    if (E.isLeft(reply)) return reply;
    if (reply.right.status === 200) return E.right(parseVersion(reply.right));
    return E.left(parseFailure(reply.right, expectedVersion));
  }

  private async tryRead(call: Call): Promise<E.Either<StoreFailure, Reply>> {
    for (let attempt = 1; ; attempt++) {
      const reply = await this.tryCall(call);
      const isFinal = E.isRight(reply)
        ? reply.right.status < 500
        : reply.left.kind === 'budget';
      if (isFinal || attempt === MAX_READ_ATTEMPTS) return reply;
      const delayMs = FIRST_RETRY_DELAY_MS * 2 ** (attempt - 1);
      await waitFor(this.system, delayMs * (0.5 + this.system.getRandom()));
    }
  }

  private async tryCall(call: Call): Promise<E.Either<StoreFailure, Reply>> {
    if (!this.budget.tryTake()) {
      const text = formatMessage('DD2005', {
        budget: this.budget.callsPerSecond,
      });
      return E.left({kind: 'budget', text});
    }
    try {
      const response = await this.pool.request({
        method: call.method,
        path: call.path,
        headers: call.headers ?? {},
        body: call.body === undefined ? null : Buffer.from(call.body),
        signal: AbortSignal.timeout(call.timeoutMs),
      });
      const body = new Uint8Array(await response.body.arrayBuffer());
      return E.right({
        status: response.statusCode,
        headers: response.headers,
        body,
      });
    } catch (error) {
      return E.left(createCallFailure(call.method === 'GET', error));
    }
  }
}

function parseFailure(reply: Reply, expected = 0): StoreFailure {
  if (reply.status === 409) {
    const found = parseVersion(reply);
    return {
      kind: 'conflict',
      text: formatMessage('DD2003', {
        expected: formatVersion(expected),
        found: formatVersion(found),
      }),
      foundVersion: found,
    };
  }
  const reason = `status ${reply.status}`;
  if (reply.status === 503)
    return {kind: 'unavailable', text: formatMessage('DD2001', {reason})};
  if (reply.status >= 500)
    return {kind: 'unknown', text: formatMessage('DD2002')};
  return {kind: 'refused', text: formatMessage('DD2004', {reason})};
}

function parseVersion(reply: Reply): ObjectVersion {
  return Number(reply.headers[VERSION_HEADER] ?? 0);
}

function parseOrigin(reply: Reply): {readonly origin?: ObjectVersion} {
  const origin = reply.headers[ORIGIN_HEADER];
  return origin === undefined ? {} : {origin: Number(origin)};
}

function parseJson<T>(reply: Reply): E.Either<StoreFailure, T> {
  try {
    return E.right(JSON.parse(Buffer.from(reply.body).toString('utf8')) as T);
  } catch (error) {
    const reason = getErrorText(error);
    return E.left({
      kind: 'unavailable',
      text: formatMessage('DD2001', {reason}),
    });
  }
}

function formatObjectPath(key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
}
