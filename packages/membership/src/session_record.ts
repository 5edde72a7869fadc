/**
 * Converts sessions to and from their protobuf records in the store.
 */
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';

import type {Member} from '@dottereldrift/core/types.js';
import {
  MemberSchema,
  type ServerRecord,
  ServerRecordSchema,
  SessionRecordSchema,
  type Member as MemberRecord,
} from '@dottereldrift/rpc/gen/dottereldrift/v1/records_pb.js';

import type {ServerInfo, Session} from './types.js';

/** Prefix of the store keys of sessions. */
export const SESSION_PREFIX = 'sessions/';

/** Returns the store key of a host's session. */
export function getSessionKey(host: string): string {
  return `${SESSION_PREFIX}${host}`;
}

/** Encodes a session as its stored record. */
export function encodeSession(session: Session): Uint8Array {
  const record = create(SessionRecordSchema, {
    member: create(MemberSchema, session.member),
    dataCentre: session.dataCentre,
    region: session.region,
    ip: session.peerAddress.ip,
    peerPort: session.peerAddress.port,
    callerPort: session.callerPort,
    witnesses: session.witnesses.map(witness => create(MemberSchema, witness)),
    ended: session.isEnded,
    leaving: session.isLeaving,
    servers: session.servers.map(encodeServer),
    follows: [...(session.follows ?? [])],
  });
  return toBinary(SessionRecordSchema, record);
}

/** Parses the stored record of a session. */
export function parseSession(bytes: Uint8Array): Session {
  const record = fromBinary(SessionRecordSchema, bytes);
  return {
    member: parseMember(record.member),
    dataCentre: record.dataCentre,
    region: record.region,
    peerAddress: {ip: record.ip, port: record.peerPort},
    callerPort: record.callerPort,
    witnesses: record.witnesses.map(parseMember),
    servers: record.servers.map(parseServer),
    isEnded: record.ended,
    isLeaving: record.leaving,
    ...(record.follows.length === 0 ? {} : {follows: record.follows}),
  };
}

/** Converts a member record; a missing one yields empty names. */
export function parseMember(record: MemberRecord | undefined): Member {
  return {host: record?.host ?? '', incarnation: record?.incarnation ?? ''};
}

function encodeServer(server: ServerInfo): ServerRecord {
  return create(ServerRecordSchema, {
    service: server.service,
    ip: server.address.ip,
    port: server.address.port,
    slots: server.slots,
    connections: server.connections,
    leaving: server.isLeaving,
    life: server.life ?? '',
    voidToken: BigInt(server.voidToken ?? 0),
  });
}

function parseServer(record: ServerRecord): ServerInfo {
  return {
    service: record.service,
    address: {ip: record.ip, port: record.port},
    slots: record.slots,
    connections: record.connections,
    isLeaving: record.leaving,
    ...(record.life === '' ? {} : {life: record.life}),
    ...(record.voidToken === 0n ? {} : {voidToken: Number(record.voidToken)}),
  };
}
