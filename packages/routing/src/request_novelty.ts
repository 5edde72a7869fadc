/**
 * Decides whether a request that is missing from the owner's records can have run before. After a takeover
 * the owner does not know what ran on the lost owner, so only a timestamp or generation in the
 * request, or the end of the retention, proves that it is new.
 */
import type {Instant, Token} from '@dottereldrift/core/types.js';

/** Maximum tolerated difference between the clocks of a caller and a daemon. */
export const CLOCK_SKEW_MARGIN_MS = 2_000;

/** Inputs of the decision. */
export interface NoveltyInput {
  /** Token from which on the owner's records are complete; 0 if they always were. */
  readonly recordsSince: Token;
  /** When this daemon first saw `recordsSince`, which is never before the records begin. */
  readonly seenAt: Instant;
  readonly now: Instant;
  /** Time after which callers no longer repeat a request. */
  readonly retentionMs: number;
  /** Generation under which the request was first routed. */
  readonly firstGeneration: number | undefined;
  /** Wall-clock time at which the caller first sent the request. */
  readonly firstSentWallMs: number | undefined;
  readonly idempotencyKey: string;
}

/** Returns whether the request certainly did not run under an earlier owner. */
export function isCertainlyNew(input: NoveltyInput): boolean {
  const {recordsSince, seenAt, now, retentionMs, firstGeneration} = input;
  if (recordsSince === 0) return true;
  if (firstGeneration !== undefined && firstGeneration >= recordsSince)
    return true;
  if (now.monotonicMs - seenAt.monotonicMs >= retentionMs) return true;
  const sentWallMs =
    input.firstSentWallMs ?? parseUuidTime(input.idempotencyKey);
  if (sentWallMs === undefined) return false;
  const isFromFuture = sentWallMs > now.wallMs + CLOCK_SKEW_MARGIN_MS;
  const seenWallMs = computeSeenWallMs(seenAt, now);
  return !isFromFuture && sentWallMs > seenWallMs + CLOCK_SKEW_MARGIN_MS;
}

/**
 * Returns the wall-clock time of `seenAt`: the later of the recorded value and the one derived from the
 * monotonic clock, because the wall clock may have been behind and corrected since.
 */
function computeSeenWallMs(seenAt: Instant, now: Instant): number {
  const elapsedMs = now.monotonicMs - seenAt.monotonicMs;
  return Math.max(seenAt.wallMs, now.wallMs - elapsedMs);
}

const UUID_V7_PATTERN =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Returns the timestamp of a version 7 UUID, in milliseconds since the epoch. */
export function parseUuidTime(text: string): number | undefined {
  const match = UUID_V7_PATTERN.exec(text);
  if (match === null) return undefined;
  return parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, 16);
}
