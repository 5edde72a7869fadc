/**
 * Decides whether a request that its owner has no record of can have run before. An owner that took a
 * key over from a lost one does not know what ran there, so only a stamp that the request carries, or
 * the end of the retention, shows that it is new.
 */
import type {Instant, Token} from '@dottereldrift/core/types.js';

/** Largest difference between the clocks of a caller and a daemon that is allowed for. */
export const CLOCK_SKEW_MARGIN_MS = 2_000;

/** What the decision rests on. */
export interface NoveltyInput {
  /** Token since which the owner's records are complete; 0 from the start. */
  readonly recordsSince: Token;
  /** When this daemon first saw that the records begin there: no earlier than they do. */
  readonly seenAt: Instant;
  readonly now: Instant;
  /** Time after which callers do not repeat a request. */
  readonly retentionMs: number;
  /** Generation under which the request was first routed. */
  readonly firstGeneration: number | undefined;
  /** Wall-clock time at which the caller first sent it. */
  readonly firstSentWallMs: number | undefined;
  readonly idempotencyKey: string;
}

/** Tells whether the request certainly did not run under an earlier owner. */
export function isCertainlyNew(input: NoveltyInput): boolean {
  const {recordsSince, seenAt, now, retentionMs, firstGeneration} = input;
  if (recordsSince === 0) return true;
  if (firstGeneration !== undefined && firstGeneration >= recordsSince)
    return true;
  if (now.monotonicMs - seenAt.monotonicMs >= retentionMs) return true;
  const sentWallMs =
    input.firstSentWallMs ?? readUuidTime(input.idempotencyKey);
  if (sentWallMs === undefined) return false;
  const isFromFuture = sentWallMs > now.wallMs + CLOCK_SKEW_MARGIN_MS;
  const seenWallMs = computeSeenWallMs(seenAt, now);
  return !isFromFuture && sentWallMs > seenWallMs + CLOCK_SKEW_MARGIN_MS;
}

/** Returns the later of two answers: the wall clock may have been behind then, and set since. */
function computeSeenWallMs(seenAt: Instant, now: Instant): number {
  const passedMs = now.monotonicMs - seenAt.monotonicMs;
  return Math.max(seenAt.wallMs, now.wallMs - passedMs);
}

const UUID_V7_PATTERN =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Returns the time in a UUID of version 7, in milliseconds since the epoch. */
export function readUuidTime(text: string): number | undefined {
  const match = UUID_V7_PATTERN.exec(text);
  if (match === null) return undefined;
  return parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, 16);
}
