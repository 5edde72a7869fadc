/**
 * Conversion between entries of the idempotency window and the messages that hand them over to a new owner.
 */
import {create} from '@bufbuild/protobuf';

import type {
  EntryState,
  WindowEntry,
} from '@dottereldrift/limits/idempotency_window.js';
import {
  type IdempotencyEntry,
  IdempotencyEntrySchema,
} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';

/** Encodes an entry; its time is sent as an age, since monotonic clocks cannot be compared between hosts. */
export function encodeIdempotencyEntry(
  service: string,
  entry: WindowEntry,
  nowMs: number,
): IdempotencyEntry {
  const answer =
    entry.state.kind === 'finished' ? entry.state.answer : undefined;
  return create(IdempotencyEntrySchema, {
    service,
    idempotencyKey: entry.idempotencyKey,
    fingerprint: entry.fingerprint,
    position: entry.position,
    isFinished: answer !== undefined,
    status: answer?.status ?? 0,
    headerPairs: [...(answer?.headerPairs ?? [])],
    body: answer?.body ?? new Uint8Array(),
    isBodyKept: answer?.body !== undefined,
    ageMs: nowMs - entry.createdAtMs,
  });
}

/** Decodes an entry. */
export function parseIdempotencyEntry(
  entry: IdempotencyEntry,
  nowMs: number,
): WindowEntry {
  const state: EntryState = entry.isFinished
    ? {
        kind: 'finished',
        answer: {
          status: entry.status,
          headerPairs: entry.headerPairs,
          body: entry.isBodyKept ? entry.body : undefined,
        },
      }
    : {kind: 'unknown'};
  return {
    idempotencyKey: entry.idempotencyKey,
    fingerprint: entry.fingerprint,
    position: entry.position,
    state,
    createdAtMs: nowMs - entry.ageMs,
  };
}
