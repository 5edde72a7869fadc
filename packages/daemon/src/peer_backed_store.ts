/**
 * A store client that makes a conditional update through another daemon when the store turns this one away.
 * Answers the load of a partial store outage: some daemons are refused while the others are served. Without it,
 * no placement changes while the coordinator is among the refused, and its moves stand still half done.
 *
 * The update is conditional, so it is harmless if both the direct call and the one through another daemon reach
 * the store: only one of them takes effect.
 */
import {Code, ConnectError} from '@connectrpc/connect';
import * as E from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';

import {getErrorText} from '@dottereldrift/core/errors.js';
import type {Log} from '@dottereldrift/core/log.js';
import {formatMessage} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';
import type {Address} from '@dottereldrift/core/types.js';
import type {UpdateObjectResponse} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';
import type {
  ListResult,
  ObjectStore,
  ObjectVersion,
  ReadConsistency,
  StoredObject,
  StoreFailure,
  StoreFailureKind,
  WatchOptions,
  WatchResult,
} from '@dottereldrift/store/types.js';

import type {PeerClients} from './peer_client.js';

/** Time after a refused update during which the store is not asked directly; doubles with each further one. */
const FIRST_PAUSE_MS = 1_000;
const MAX_PAUSE_MS = 8_000;
const PAUSED_REASON = 'it has just refused another update';
/** Number of daemons that are asked to make one update. */
const MAX_HELPERS = 2;

/** Connect codes of calls that another daemon has rejected without making the update. */
const REJECTED_CODES: ReadonlySet<Code> = new Set([
  Code.Unimplemented,
  Code.Unauthenticated,
  Code.PermissionDenied,
  Code.InvalidArgument,
]);
const FAILURE_KINDS: ReadonlySet<string> = new Set<StoreFailureKind>([
  'unavailable',
  'unknown',
  'conflict',
  'refused',
  'budget',
]);

type UpdateResult = E.Either<StoreFailure, ObjectVersion>;

/** Returns the addresses of daemons that can probably reach the store, the most likely first. */
export type HelperFinder = () => readonly Address[];

/** Makes conditional updates directly or, while the store turns this daemon away, through another daemon. */
export class PeerBackedStore implements ObjectStore {
  private pausedUntilMs = -Infinity;
  private nextPauseMs = FIRST_PAUSE_MS;

  constructor(
    private readonly system: System,
    private readonly direct: ObjectStore,
    private readonly peers: Pick<PeerClients, 'getClient'>,
    private readonly findHelpers: HelperFinder,
    private readonly log: Log,
  ) {}

  getObject(key: string): TaskEither<StoreFailure, StoredObject | undefined> {
    return this.direct.getObject(key);
  }

  listObjects(
    prefix: string,
    consistency?: ReadConsistency,
  ): TaskEither<StoreFailure, ListResult> {
    return this.direct.listObjects(prefix, consistency);
  }

  updateObject(
    key: string,
    expectedVersion: ObjectVersion,
    value: Uint8Array,
  ): TaskEither<StoreFailure, ObjectVersion> {
    return async () => {
      const result = await this.updateDirectly(key, expectedVersion, value);
      // A lost answer is left to the caller, who must know that the update may still take effect.
      return E.isLeft(result) && result.left.kind === 'unavailable'
        ? this.updateThroughPeers(key, expectedVersion, value, result)
        : result;
    };
  }

  deleteObject(
    key: string,
    expectedVersion: ObjectVersion,
  ): TaskEither<StoreFailure, ObjectVersion> {
    return this.direct.deleteObject(key, expectedVersion);
  }

  watchObjects(
    prefix: string,
    afterRevision: ObjectVersion,
    waitMs: number,
    options?: WatchOptions,
  ): TaskEither<StoreFailure, WatchResult> {
    return this.direct.watchObjects(prefix, afterRevision, waitMs, options);
  }

  /**
   * Makes an update without the help of other daemons. While the store turns this daemon away, fails at once as
   * `unavailable`, so that neither this daemon nor one that asks it for help floods the store.
   */
  async updateDirectly(
    key: string,
    expectedVersion: ObjectVersion,
    value: Uint8Array,
  ): Promise<UpdateResult> {
    const nowMs = this.system.getNow().monotonicMs;
    if (nowMs < this.pausedUntilMs)
      return E.left(createUnavailable(PAUSED_REASON));
    const update = this.direct.updateObject(key, expectedVersion, value);
    const result = await update();
    if (E.isLeft(result) && isUnreachable(result.left)) this.pause();
    else this.nextPauseMs = FIRST_PAUSE_MS;
    return result;
  }

  private pause(): void {
    this.pausedUntilMs = this.system.getNow().monotonicMs + this.nextPauseMs;
    this.nextPauseMs = Math.min(MAX_PAUSE_MS, this.nextPauseMs * 2);
  }

  private async updateThroughPeers(
    key: string,
    expectedVersion: ObjectVersion,
    value: Uint8Array,
    refused: UpdateResult,
  ): Promise<UpdateResult> {
    let result = refused;
    for (const address of this.findHelpers().slice(0, MAX_HELPERS)) {
      result = await this.updateThroughPeer(address, {
        key,
        expectedVersion: BigInt(expectedVersion),
        value,
      });
      if (E.isRight(result) || result.left.kind !== 'unavailable') break;
    }
    this.recordUpdate(key, expectedVersion, result);
    return result;
  }

  private recordUpdate(
    key: string,
    expectedVersion: ObjectVersion,
    result: UpdateResult,
  ): void {
    if (E.isRight(result))
      this.log.writeInfo('An object was updated through another daemon.', {
        key,
        expectedVersion,
        version: result.right,
      });
    else
      this.log.writeInfo('Failed to update an object through other daemons.', {
        key,
        expectedVersion,
        kind: result.left.kind,
        reason: result.left.text,
      });
  }

  private async updateThroughPeer(
    address: Address,
    request: {key: string; expectedVersion: bigint; value: Uint8Array},
  ): Promise<UpdateResult> {
    try {
      const client = this.peers.getClient(address);
      return parseUpdateResponse(await client.updateObject(request));
    } catch (error) {
      const isRejected =
        error instanceof ConnectError && REJECTED_CODES.has(error.code);
      return E.left(
        isRejected
          ? createUnavailable(getErrorText(error))
          : {kind: 'unknown', text: formatMessage('DD2002')},
      );
    }
  }
}

/** Encodes the result of an update that was made for another daemon. */
export function encodeUpdateResult(
  result: UpdateResult,
): Omit<UpdateObjectResponse, '$typeName'> {
  if (E.isRight(result))
    return {
      version: BigInt(result.right),
      failureKind: '',
      failureText: '',
      foundVersion: 0n,
    };
  const {kind, text, foundVersion = 0} = result.left;
  return {
    version: 0n,
    failureKind: kind,
    failureText: text,
    foundVersion: BigInt(foundVersion),
  };
}

/** Decodes the result of an update. A kind of failure that is not known may have had an effect. */
function parseUpdateResponse({
  version,
  failureKind,
  failureText,
  foundVersion,
}: UpdateObjectResponse): UpdateResult {
  if (failureKind === '') return E.right(Number(version));
  const kind = FAILURE_KINDS.has(failureKind)
    ? (failureKind as StoreFailureKind)
    : 'unknown';
  return E.left({
    kind,
    text: failureText,
    ...(kind === 'conflict' ? {foundVersion: Number(foundVersion)} : {}),
  });
}

function isUnreachable({kind}: StoreFailure): boolean {
  return kind === 'unavailable' || kind === 'unknown';
}

function createUnavailable(reason: string): StoreFailure {
  return {kind: 'unavailable', text: formatMessage('DD2001', {reason})};
}
