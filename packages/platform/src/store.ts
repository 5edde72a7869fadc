/**
 * Adapter for the platform's metadata store. The daemon's objects are stored under a kind of their own. The
 * operator's configuration is translated into a manifest when it is read.
 */
import * as E from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';
import {Pool} from 'undici';
import type * as z from 'zod';

import {getErrorText} from '@dottereldrift/core/errors.js';
import type {Log} from '@dottereldrift/core/log.js';
import {formatUrl} from '@dottereldrift/core/member.js';
import {formatMessage} from '@dottereldrift/core/messages.js';
import type {Address} from '@dottereldrift/core/types.js';
import type {
  ConfigurationAnswer,
  ConfigurationSource,
} from '@dottereldrift/daemon/configuration_follower.js';
import {ACCEPTED_MANIFEST_KEY} from '@dottereldrift/daemon/store_view.js';
import {
  checkValue,
  formatValidationError,
} from '@dottereldrift/manifest/check.js';
import type {CallBudget} from '@dottereldrift/store/call_budget.js';
import {createCallFailure} from '@dottereldrift/store/call_failure.js';
import type {
  ListResult,
  ObjectChange,
  ObjectStore,
  ObjectVersion,
  ReadConsistency,
  StoredObject,
  StoreFailure,
  WatchOptions,
  WatchResult,
} from '@dottereldrift/store/types.js';
import {
  createVersion,
  formatVersion,
  getEra,
  getRevision,
} from '@dottereldrift/store/version.js';

import {translateConfiguration} from './configuration.js';
import {ERA_HEADER, StoreEra} from './store_era.js';
import {
  CONFIGURATION_KIND,
  CONFIGURATION_NAME,
  listSchema,
  objectSchema,
  valueSchema,
  type WireObject,
  watchSchema,
} from './wire.js';

/** Kind under which daemons store their objects. */
const PRODUCT_KIND = 'dottereldrift';
const CALL_TIMEOUT_MS = 1_500;
/** Time added to a watch's wait before the call is considered lost. */
const WATCH_GRACE_MS = 1_000;
const CONNECT_TIMEOUT_MS = 1_000;
const MAX_CONNECTIONS = 6;
const GONE_STATUS = 410;
const CONFLICT_STATUS = 409;
const NOT_FOUND_STATUS = 404;
const TOO_MANY_REQUESTS_STATUS = 429;
const UNAVAILABLE_STATUS = 503;
/** Query parameter of reads that copies of the store may answer. */
const SERIALIZABLE_PARAMETER = 'serializable=1';

interface Reply {
  readonly status: number;
  readonly body: unknown;
  readonly era: number;
}

type Method = 'GET' | 'POST' | 'PUT' | 'DELETE';

/** Client of the platform's store. */
export class PlatformStore implements ObjectStore, ConfigurationSource {
  private pool: Pool;
  private lastError = '';
  private readonly era: StoreEra;

  constructor(
    private readonly address: Address,
    private readonly budget: CallBudget,
    private readonly log: Log,
  ) {
    this.pool = createPool(address);
    this.era = new StoreEra(log);
  }

  getObject(key: string): TaskEither<StoreFailure, StoredObject | undefined> {
    return async () => {
      const path = formatPath(PRODUCT_KIND, formatObjectName(key));
      const reply = await this.call('GET', path, CALL_TIMEOUT_MS);
      if (E.isLeft(reply)) return reply;
      if (reply.right.status === NOT_FOUND_STATUS) return E.right(undefined);
      const object = readBody(objectSchema, reply.right);
      return E.isLeft(object)
        ? object
        : E.right(parseObject(object.right, reply.right.era));
    };
  }

  /** Reads all objects of the daemons and the configuration. */
  listObjects(
    _prefix?: string,
    consistency?: ReadConsistency,
  ): TaskEither<StoreFailure, ListResult> {
    return async () => {
      const objects: StoredObject[] = [];
      let revision: ObjectVersion | undefined;
      for (let after = ''; ;) {
        const page = await this.listPage(PRODUCT_KIND, after, consistency);
        if (E.isLeft(page)) return page;
        const {items, has_more: hasMore, store_revision: found} = page.right;
        const {era} = page.right;
        revision ??= createVersion(era, found);
        if (era !== getEra(revision)) return E.left(createRestored());
        objects.push(...items.flatMap(item => parseObject(item, era) ?? []));
        const last = items[items.length - 1];
        if (hasMore !== true || last === undefined) break;
        after = last.metadata.name;
      }
      const configuration = await this.readConfiguration(consistency)();
      if (E.isLeft(configuration)) return configuration;
      const {accepted} = configuration.right;
      if (getEra(configuration.right.revision) !== getEra(revision))
        return E.left(createRestored());
      if (accepted !== undefined) objects.push(accepted);
      return E.right({revision, objects});
    };
  }

  updateObject(
    key: string,
    expectedVersion: ObjectVersion,
    value: Uint8Array,
  ): TaskEither<StoreFailure, ObjectVersion> {
    return async () => {
      const name = formatObjectName(key);
      const isNew = expectedVersion === 0;
      const era = this.recordExpected(expectedVersion);
      if (E.isLeft(era)) return era;
      const path = formatPath(PRODUCT_KIND, isNew ? undefined : name);
      const metadata = isNew
        ? {name}
        : {name, rev: getRevision(expectedVersion)};
      const spec = {
        value: Buffer.from(value).toString('base64'),
        ...(era.right === 0
          ? {}
          : {era: era.right, base: getRevision(expectedVersion)}),
      };
      const body = {metadata, spec};
      const method = isNew ? 'POST' : 'PUT';
      const reply = await this.call(method, path, CALL_TIMEOUT_MS, body);
      if (E.isLeft(reply)) return reply;
      const {status} = reply.right;
      if (status === CONFLICT_STATUS || status === NOT_FOUND_STATUS)
        return E.left(createConflict(expectedVersion, reply.right));
      const object = readBody(objectSchema, reply.right, 'unknown');
      if (E.isLeft(object)) return object;
      // Restored while the call was under way, the store may have applied it to another state than the expected one.
      return reply.right.era === era.right
        ? E.right(createVersion(era.right, object.right.metadata.rev))
        : E.left(createUnknown());
    };
  }

  deleteObject(
    key: string,
    expectedVersion: ObjectVersion,
  ): TaskEither<StoreFailure, ObjectVersion> {
    return async () => {
      const era = this.recordExpected(expectedVersion);
      if (E.isLeft(era)) return era;
      const revision = getRevision(expectedVersion);
      const path = `${formatPath(PRODUCT_KIND, formatObjectName(key))}?rev=${revision}`;
      const reply = await this.call('DELETE', path, CALL_TIMEOUT_MS);
      if (E.isLeft(reply)) return reply;
      if (
        reply.right.status === CONFLICT_STATUS ||
        reply.right.status === NOT_FOUND_STATUS
      )
        return E.left(createConflict(expectedVersion, reply.right));
      if (reply.right.status >= 300)
        return E.left(createFailure(reply.right.status));
      return reply.right.era === era.right
        ? E.right(expectedVersion)
        : E.left(createUnknown());
    };
  }

  watchObjects(
    _prefix: string,
    afterRevision: ObjectVersion,
    waitMs: number,
    options: WatchOptions = {},
  ): TaskEither<StoreFailure, WatchResult> {
    return async () => {
      const watched = await this.watchKind(
        PRODUCT_KIND,
        afterRevision,
        waitMs,
        options,
      );
      if (E.isLeft(watched)) return watched;
      if (watched.right === 'gone')
        return E.right({revision: afterRevision, changes: [], isReset: true});
      const {events, era, store_revision: revision} = watched.right;
      const changes = events.map(({object, removed}) =>
        parseChange(object, removed === true, era),
      );
      return E.right({
        revision: createVersion(era, revision),
        changes,
        isReset: false,
      });
    };
  }

  readConfiguration(
    consistency?: ReadConsistency,
  ): TaskEither<StoreFailure, ConfigurationAnswer> {
    return async () => {
      const page = await this.listPage(CONFIGURATION_KIND, '', consistency);
      if (E.isLeft(page)) return page;
      const {items, era, store_revision: revision} = page.right;
      return E.right(this.createConfigurationAnswer(items, revision, era));
    };
  }

  watchConfiguration(
    afterRevision: number,
    waitMs: number,
    options: WatchOptions = {},
  ): TaskEither<StoreFailure, ConfigurationAnswer> {
    return async () => {
      const watched = await this.watchKind(
        CONFIGURATION_KIND,
        afterRevision,
        waitMs,
        options,
      );
      if (E.isLeft(watched)) return watched;
      if (watched.right === 'gone') {
        const read = await this.readConfiguration()();
        return E.isLeft(read) ? read : E.right({...read.right, isReset: true});
      }
      const {events, era, store_revision: revision} = watched.right;
      const objects = events
        .filter(({removed}) => removed !== true)
        .map(({object}) => object);
      return E.right(this.createConfigurationAnswer(objects, revision, era));
    };
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  /** Translates the newest of the given configurations. Omits it if it cannot be translated. */
  private createConfigurationAnswer(
    objects: readonly WireObject[],
    storeRevision: number,
    era: number,
  ): ConfigurationAnswer {
    const revision = createVersion(era, storeRevision);
    const newest = objects
      .filter(({metadata}) => metadata.name === CONFIGURATION_NAME)
      .sort((a, b) => b.metadata.rev - a.metadata.rev)[0];
    if (newest === undefined) return {revision, accepted: undefined};
    const version = createVersion(era, newest.metadata.rev);
    const translated = translateConfiguration(newest.spec, version);
    if (E.isLeft(translated)) {
      this.log.writeError(
        'Cannot translate the configuration; the current one remains in effect.',
        {
          version: formatVersion(version),
          faults: translated.left.map(formatValidationError).join('; '),
        },
      );
      return {revision, accepted: undefined};
    }
    const value = Buffer.from(JSON.stringify(translated.right));
    const accepted = {key: ACCEPTED_MANIFEST_KEY, version, value};
    return {revision, accepted};
  }

  private async listPage(
    kind: string,
    after: string,
    consistency?: ReadConsistency,
  ) {
    const path = formatPath(kind, undefined, after === '' ? {} : {after});
    const reply = await this.read(path, CALL_TIMEOUT_MS, consistency);
    if (E.isLeft(reply)) return reply;
    const page = readBody(listSchema, reply.right);
    return E.isLeft(page)
      ? page
      : E.right({...page.right, era: reply.right.era});
  }

  private async watchKind(
    kind: string,
    revision: number,
    waitMs: number,
    {consistency, signal}: WatchOptions,
  ) {
    const watchedEra = getEra(revision);
    this.era.recordEra(watchedEra);
    if (watchedEra < this.era.get()) return E.right('gone' as const);
    const path = formatPath(kind, undefined, {
      watch: String(getRevision(revision)),
      wait_ms: String(Math.round(waitMs)),
    });
    const timeoutMs = waitMs + WATCH_GRACE_MS;
    const reply = await this.read(path, timeoutMs, consistency, signal);
    if (E.isLeft(reply)) return reply;
    const {status, era} = reply.right;
    // In a later era, the same revision stands for another state.
    if (status === GONE_STATUS || era !== watchedEra)
      return E.right('gone' as const);
    const result = readBody(watchSchema, reply.right);
    return E.isLeft(result) ? result : E.right({...result.right, era});
  }

  /**
   * Returns the era in which an update with an expected version is made. A version of an earlier era conflicts,
   * because the store may have given out its revision again.
   */
  private recordExpected(
    expectedVersion: ObjectVersion,
  ): E.Either<StoreFailure, number> {
    const expectedEra = getEra(expectedVersion);
    this.era.recordEra(expectedEra);
    const era = this.era.get();
    if (expectedVersion === 0 || expectedEra === era) return E.right(era);
    const expected = formatVersion(expectedVersion);
    const text = formatMessage('DD2006', {expected, era});
    return E.left({kind: 'conflict', text});
  }

  /**
   * Reads with a consistency. Copies may be behind the restoration that started an era, whatever era their responses
   * name, so none of their responses counts that names an era for the first time, nor for some time after.
   */
  private async read(
    path: string,
    timeoutMs: number,
    consistency: ReadConsistency = 'linearizable',
    signal?: AbortSignal,
  ): Promise<E.Either<StoreFailure, Reply>> {
    if (consistency === 'serializable' && this.era.isSettled()) {
      const separator = path.includes('?') ? '&' : '?';
      const copyPath = `${path}${separator}${SERIALIZABLE_PARAMETER}`;
      const reply = await this.call(
        'GET',
        copyPath,
        timeoutMs,
        undefined,
        signal,
      );
      if (this.era.isSettled() || signal?.aborted === true) return reply;
    }
    return this.call('GET', path, timeoutMs, undefined, signal);
  }

  private async call(
    method: Method,
    path: string,
    timeoutMs: number,
    body?: object,
    signal?: AbortSignal,
  ): Promise<E.Either<StoreFailure, Reply>> {
    if (!this.budget.tryTake()) {
      const budget = this.budget.callsPerSecond;
      const text = formatMessage('DD2005', {budget});
      return E.left({kind: 'budget', text});
    }
    const {pool} = this;
    const timeout = AbortSignal.timeout(timeoutMs);
    try {
      const response = await pool.request({
        method,
        path,
        ...(body === undefined
          ? {}
          : {
              headers: {'content-type': 'application/json'},
              body: JSON.stringify(body),
            }),
        // No further response arrives on a connection that lost one, so the signal closes it.
        signal: signal ? AbortSignal.any([timeout, signal]) : timeout,
      });
      const text = await response.body.text();
      this.recordSuccess(method);
      const {statusCode: status, headers} = response;
      const era = this.era.receive(headers[ERA_HEADER]);
      if (era < this.era.get()) return E.left(createStale(method, status));
      return E.right({status, body: parseJson(text), era});
    } catch (error) {
      // A call that its caller ended says nothing about the store.
      if (signal?.aborted !== true) {
        this.recordFailure(method, error);
        this.renewPool(pool);
      }
      return E.left(createCallFailure(method === 'GET', error));
    }
  }

  /**
   * Replaces the connection pool after a call failed, because idle connections may be dead too. Calls in
   * progress on the old pool continue.
   */
  private renewPool(failed: Pool): void {
    if (this.pool !== failed) return;
    this.pool = createPool(this.address);
    failed.close().catch((error: unknown) => {
      this.log.writeDebug('Cannot close the connections to the store.', {
        reason: getErrorText(error),
      });
    });
  }

  private recordSuccess(method: Method): void {
    if (this.lastError === '') return;
    this.lastError = '';
    this.log.writeInfo('The store responds again.', {method});
  }

  private recordFailure(method: Method, error: unknown): void {
    const reason = getErrorText(error);
    if (this.lastError === '')
      this.log.writeWarning('The store does not respond.', {method, reason});
    this.lastError = reason;
  }
}

function createPool(address: Address): Pool {
  return new Pool(formatUrl(address), {
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

function formatPath(
  kind: string,
  name: string | undefined,
  query: Readonly<Record<string, string>> = {},
): string {
  const suffix = name === undefined ? '' : `/${encodeURIComponent(name)}`;
  const parameters = new URLSearchParams(query).toString();
  const path = `/objects/${kind}${suffix}`;
  return parameters === '' ? path : `${path}?${parameters}`;
}

/** Replaces the first slash of a key by a dot, because object names cannot contain slashes. */
function formatObjectName(key: string): string {
  return key.replace('/', '.');
}

function parseObjectName(name: string): string {
  return name.replace('.', '/');
}

/** Decodes an object. Returns undefined if it is being deleted or was not written by a daemon. */
function parseObject(
  object: WireObject,
  era: number,
): StoredObject | undefined {
  const spec = valueSchema.safeParse(object.spec);
  if (!spec.success || object.metadata.deleting === true) return undefined;
  const {rev} = object.metadata;
  const {value, era: writtenEra = 0, base = rev} = spec.data;
  // A write that was sent before the store was restored may have been applied since, at a revision of the new era.
  return {
    key: parseObjectName(object.metadata.name),
    version: createVersion(era, rev),
    ...(writtenEra >= era ? {} : {origin: createVersion(writtenEra, base)}),
    value: Buffer.from(value, 'base64'),
  };
}

function parseChange(
  object: WireObject,
  isRemoved: boolean,
  era: number,
): ObjectChange {
  const stored = parseObject(object, era);
  return {
    key: parseObjectName(object.metadata.name),
    version: createVersion(era, object.metadata.rev),
    isDeleted: isRemoved || stored === undefined,
    ...stored,
  };
}

function readBody<T>(
  schema: z.ZodType<T>,
  reply: Reply,
  /** Kind of the failure if a successful response has an invalid body. */
  unreadableKind: 'unavailable' | 'unknown' = 'unavailable',
): E.Either<StoreFailure, T> {
  if (reply.status >= 300) return E.left(createFailure(reply.status));
  const checked = checkValue(schema, reply.body);
  if (E.isRight(checked)) return checked;
  const reason = checked.left.map(formatValidationError).join('; ');
  const text = formatMessage('DD2001', {reason});
  return E.left({kind: unreadableKind, text});
}

function createFailure(status: number): StoreFailure {
  const reason = `status ${status}`;
  if (status === UNAVAILABLE_STATUS || status === TOO_MANY_REQUESTS_STATUS)
    return {kind: 'unavailable', text: formatMessage('DD2001', {reason})};
  if (status >= 500) return {kind: 'unknown', text: formatMessage('DD2002')};
  return {kind: 'refused', text: formatMessage('DD2004', {reason})};
}

function createConflict(expected: ObjectVersion, reply: Reply): StoreFailure {
  const found = objectSchema.safeParse(reply.body);
  const foundVersion = found.success
    ? createVersion(reply.era, found.data.metadata.rev)
    : 0;
  const text = formatMessage('DD2003', {
    expected: formatVersion(expected),
    found: formatVersion(foundVersion),
  });
  return {kind: 'conflict', text, foundVersion};
}

/** Returns the failure of a call whose response describes a state from before the store was restored. */
function createStale(method: Method, status: number): StoreFailure {
  const wasRefused = status >= 300 && status < 500;
  return method === 'GET' || wasRefused ? createRestored() : createUnknown();
}

/** Returns the failure of a read during which the store was restored, or of a write that it had refused before. */
function createRestored(): StoreFailure {
  const reason = 'it was restored from a backup during the call';
  return {kind: 'unavailable', text: formatMessage('DD2001', {reason})};
}

function createUnknown(): StoreFailure {
  return {kind: 'unknown', text: formatMessage('DD2002')};
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    // The caller's schema rejects undefined and reports the path of the fault.
    return undefined;
  }
}
