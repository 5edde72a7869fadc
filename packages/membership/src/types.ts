/**
 * Shapes of membership: sessions, witness sets and votes.
 */
import type {
  Address,
  HostName,
  Incarnation,
  Member,
  ServiceName,
  Token,
} from '@dottereldrift/core/types.js';

/** A backend server that a member speaks for. */
export interface ServerInfo {
  readonly service: ServiceName;
  readonly address: Address;
  /** Requests that the server runs at once. */
  readonly slots: number;
  /** Connections that the server accepts. */
  readonly connections: number;
  /** True once the server takes no new work. */
  readonly isLeaving: boolean;
  /** Names one start of the server; absent where servers do not say. */
  readonly life?: string;
  /** Highest token that an earlier life of the server may hold; slices need a higher one. */
  readonly voidToken?: Token;
}

/** A member's session, as the store keeps it. */
export interface Session {
  readonly member: Member;
  readonly dataCentre: string;
  readonly region: string;
  readonly peerAddress: Address;
  readonly callerPort: number;
  readonly witnesses: readonly Member[];
  readonly servers: readonly ServerInfo[];
  /** True once the member has ended; it never runs again. */
  readonly isEnded: boolean;
  /** True once the member takes no new work. */
  readonly isLeaving: boolean;
  /**
   * Incarnations that ran on this host before, newest first, whose grants may still be in force. The
   * backend server that holds them is on this host, so their slices pass to this member.
   */
  readonly follows?: readonly Incarnation[];
}

/** A session with the version of its object. */
export interface VersionedSession {
  readonly session: Session;
  readonly version: number;
}

/** The sessions that a daemon knows, by host. */
export type SessionTable = ReadonlyMap<HostName, VersionedSession>;
