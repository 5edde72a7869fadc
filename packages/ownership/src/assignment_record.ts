/**
 * Converts assignments to and from their protobuf records in the store.
 */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';

import {formatMember} from '@dottereldrift/core/member.js';
import type {Member} from '@dottereldrift/core/types.js';
import {
  AssignmentRecordSchema,
  MemberSchema,
} from '@dottereldrift/rpc/gen/dottereldrift/v1/records_pb.js';

import type {Assignment, Slice} from './types.js';

/** Prefix of the store keys of assignments. */
export const ASSIGNMENT_PREFIX = 'assignments/';

/** Returns the store key of a service's assignment. */
export function getAssignmentKey(service: string): string {
  return `${ASSIGNMENT_PREFIX}${service}`;
}

/** Encodes an assignment as its stored record. */
export function encodeAssignment(assignment: Assignment): Uint8Array {
  const owners = new OwnerTable();
  const {slices} = assignment;
  const record = create(AssignmentRecordSchema, {
    service: assignment.service,
    generation: BigInt(assignment.generation),
    starts: slices.map(slice => slice.start),
    ownerNumbers: slices.map(slice => owners.addOwner(slice.owner)),
    tokens: slices.map(slice => BigInt(slice.token)),
    nextOwnerNumbers: slices.map(slice => owners.addOwner(slice.nextOwner)),
    recordsSince: slices.map(slice => BigInt(slice.recordsSince)),
    owners: owners.members.map(member => create(MemberSchema, member)),
    writer: create(MemberSchema, assignment.writer),
    handovers: encodeHandovers(slices),
  });
  return toBinary(AssignmentRecordSchema, record);
}

/** Parses the stored record of an assignment. */
export function parseAssignment(bytes: Uint8Array): Assignment {
  const record = fromBinary(AssignmentRecordSchema, bytes);
  const owners = record.owners.map(({host, incarnation}) => ({
    host,
    incarnation,
  }));
  const slices = record.starts.map((start, index): Slice => ({
    start,
    owner: owners[(record.ownerNumbers[index] ?? 0) - 1],
    token: Number(record.tokens[index] ?? 0n),
    nextOwner: owners[(record.nextOwnerNumbers[index] ?? 0) - 1],
    recordsSince: Number(record.recordsSince[index] ?? 0n),
    ...createHandover(record.handovers[index]),
  }));
  const {service} = record;
  const writer = {
    host: record.writer?.host ?? '',
    incarnation: record.writer?.incarnation ?? '',
  };
  return {service, generation: Number(record.generation), slices, writer};
}

/** Returns one handover per slice, or an empty list if no slice has one. */
function encodeHandovers(slices: readonly Slice[]): string[] {
  if (slices.every(slice => slice.handover === undefined)) return [];
  return slices.map(slice => slice.handover ?? '');
}

function createHandover(text: string | undefined): Pick<Slice, 'handover'> {
  return text === undefined || text === '' ? {} : {handover: text};
}

/** Numbers members from 1 in order of first appearance; 0 means no owner. */
class OwnerTable {
  readonly members: Member[] = [];
  private readonly numbers = new Map<string, number>();

  addOwner(member: Member | undefined): number {
    if (member === undefined) return 0;
    const name = formatMember(member);
    const number = this.numbers.get(name);
    if (number !== undefined) return number;
    this.members.push(member);
    this.numbers.set(name, this.members.length);
    return this.members.length;
  }
}
