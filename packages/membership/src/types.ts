/**
 * Types of membership: backend servers and member sessions.
 */
import type {
  Address,
  HostName,
  Incarnation,
  Member,
  ServiceName,
  Token,
} from '@dottereldrift/core/types.js';
import type {VersionedValue} from '@dottereldrift/store/version.js';

/** A backend server that a member represents. */
export interface ServerInfo {
  readonly service: ServiceName;
  readonly address: Address;
  /** Number of requests that the server runs concurrently. */
  readonly slots: number;
  /** Number of connections that the server accepts. */
  readonly connections: number;
  /** True once the server accepts no new work. */
  readonly isLeaving: boolean;
  /** Identifies the server incarnation; absent if the server does not report one. */
  readonly life?: string;
  /** Highest token that an earlier server incarnation may hold; slices need a higher one. */
  readonly voidToken?: Token;
}

/** A member's session as stored. */
export interface Session {
  readonly member: Member;
  readonly dataCentre: string;
  readonly region: string;
  readonly peerAddress: Address;
  readonly callerPort: number;
  readonly witnesses: readonly Member[];
  readonly servers: readonly ServerInfo[];
  /** True once the member has ended; it never becomes active again. */
  readonly isEnded: boolean;
  /** True once the member accepts no new work. */
  readonly isLeaving: boolean;
  /**
   * Earlier incarnations on this host, newest first, whose grants may still be in force. The backend server
   * that holds these grants is on this host, so their slices pass to this member.
   */
  readonly follows?: readonly Incarnation[];
}

/** A session with the version of its object in the store. */
export interface VersionedSession extends VersionedValue {
  readonly session: Session;
}

/** Known sessions by host. */
export type SessionTable = ReadonlyMap<HostName, VersionedSession>;
