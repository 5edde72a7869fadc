/**
 * Types of the inputs, options and results of the registry of backend servers.
 */
import type {Dispatcher} from 'undici';

import type {ServiceName, Token} from '@dottereldrift/core/types.js';
import type {SlotPolicy} from '@dottereldrift/limits/types.js';
import type {ServerInfo} from '@dottereldrift/membership/types.js';
import type {Assignment, Slice} from '@dottereldrift/ownership/types.js';

import type {KeyReport} from './heartbeat_grants.js';
import type {ServerConnections} from './server_connections.js';
import type {SessionManager} from './session_manager.js';

/** A backend server on this host. */
export interface LocalServer {
  readonly info: ServerInfo;
  readonly connections: ServerConnections;
  readonly policy: SlotPolicy;
  /** Identifier that the server reports for itself; undefined where servers do not report one. */
  readonly instanceId?: string | undefined;
}

/** A heartbeat of a server that reports an identifier and numbers its heartbeats. */
export interface ServerHeartbeat {
  readonly info: ServerInfo;
  readonly instanceId: string;
  /** When the server started, in milliseconds since the Unix epoch. */
  readonly startedAtMs: number;
  /** Increases with every heartbeat of one server incarnation. */
  readonly sequence: number;
  /**
   * State of the server's keys; undefined when it is not reported, which proves nothing about the
   * keys.
   */
  readonly report: KeyReport | undefined;
}

/** How grants reach the servers, and their limits. */
export interface RegistryOptions {
  /** Whether grants are sent in responses to heartbeats instead of being pushed. */
  readonly isGrantingByHeartbeat: boolean;
  /**
   * Time after which a leaving server or a draining host gets no new work, in milliseconds, even if
   * its slices could not be moved.
   */
  readonly leavingAdmissionMs: number;
  /** Maximum duration of one grant, in milliseconds. */
  readonly maxHoldMs: number;
  /** Maximum size in bytes of the rows in one response. */
  readonly maxGrantBytes: number;
}

/** The part of the session that the registry uses. */
export type RegistrySession = Pick<SessionManager, 'getEnd' | 'setServers'> &
  Pick<SessionManager, 'isJoined' | 'getPreviousServers' | 'hasAdoptedSession'>;

/** The part of the current assignments that the registry uses. */
export interface OwnedSlices {
  /** Tells whether the slices known here are the complete set that this daemon's server is to hold. */
  mayGrant(service: ServiceName): boolean;
  getAssignment(service: ServiceName): Assignment | undefined;
  /** Returns the highest token that a server on this host may have been granted so far. */
  getHighestToken(service: ServiceName): Token;
  /** Tells whether a planned move is bringing slices to this daemon. */
  isExpecting(service: ServiceName): boolean;
  /** Returns the slices that this daemon owns and has not released. */
  getHeldSlices(service: ServiceName): readonly Slice[];
}

/** Creates the policy that allocates the slots of a server. */
export type PolicyFactory = (service: ServiceName, slots: number) => SlotPolicy;

/** Opens a connection pool of a server. */
export type ServerPoolFactory = (info: ServerInfo) => Dispatcher;

/**
 * Time after which a leaving server or a draining host gets no new work, in milliseconds, even if
 * its slices could not be moved.
 */
export const LEAVING_ADMISSION_MS = 2_500;

/** Options of a daemon that pushes its grants. */
export const PUSH_OPTIONS: RegistryOptions = {
  isGrantingByHeartbeat: false,
  leavingAdmissionMs: LEAVING_ADMISSION_MS,
  maxHoldMs: 10_000,
  maxGrantBytes: 1_000_000,
};
