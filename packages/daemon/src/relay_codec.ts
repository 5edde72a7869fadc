/**
 * Converts assignment diffs to and from the messages that relays send.
 */
import {create, fromBinary} from '@bufbuild/protobuf';

import {
  applyDiff,
  createDiff,
} from '@dottereldrift/ownership/assignment_diff.js';
import {
  encodeAssignment,
  getAssignmentKey,
  parseAssignment,
} from '@dottereldrift/ownership/assignment_record.js';
import type {
  Assignment,
  VersionedAssignment,
} from '@dottereldrift/ownership/types.js';
import {
  type AssignmentDiffRecord,
  AssignmentDiffRecordSchema,
  type ObjectRecord,
  ObjectRecordSchema,
} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';
import {AssignmentRecordSchema} from '@dottereldrift/rpc/gen/dottereldrift/v1/records_pb.js';
import type {ObjectVersion, StoredObject} from '@dottereldrift/store/types.js';
import {toBinary} from '@bufbuild/protobuf';

/** Encodes the diff between two generations of an assignment as a message. */
export function encodeDiff(
  before: Assignment,
  after: VersionedAssignment,
): AssignmentDiffRecord {
  const diff = createDiff(before, after.assignment);
  return create(AssignmentDiffRecordSchema, {
    key: getAssignmentKey(after.assignment.service),
    version: BigInt(after.version),
    baseGeneration: BigInt(diff.baseGeneration),
    changed: fromBinary(AssignmentRecordSchema, encodeAssignment(diff.changed)),
    removedStarts: [...diff.removedStarts],
  });
}

/** Encodes an object as a message; one that is not known, as deleted. */
export function encodeObject(
  key: string,
  object: StoredObject | undefined,
  deletionVersion: ObjectVersion,
): ObjectRecord {
  return create(ObjectRecordSchema, {
    key,
    version: BigInt(object?.version ?? deletionVersion),
    origin: BigInt(object?.origin ?? 0),
    absent: object?.isAbsent ?? false,
    value: object?.value ?? new Uint8Array(),
    deleted: object === undefined,
  });
}

/** Decodes an object. */
export function parseObject({
  key,
  version,
  origin,
  absent,
  value,
}: ObjectRecord): StoredObject {
  return {
    key,
    version: Number(version),
    value,
    ...(origin === 0n ? {} : {origin: Number(origin)}),
    ...(absent ? {isAbsent: true} : {}),
  };
}

/** Applies a diff to an assignment; returns undefined if the diff has a different base generation. */
export function tryApplyDiff(
  before: Assignment | undefined,
  record: AssignmentDiffRecord,
): VersionedAssignment | undefined {
  if (record.changed === undefined) return undefined;
  const assignment = applyDiff(before, {
    baseGeneration: Number(record.baseGeneration),
    changed: parseAssignment(toBinary(AssignmentRecordSchema, record.changed)),
    removedStarts: record.removedStarts,
  });
  return assignment && {assignment, version: Number(record.version)};
}
