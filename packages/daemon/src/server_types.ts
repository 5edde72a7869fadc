/**
 * What the registry of backend servers takes and gives.
 */
import type {Dispatcher} from 'undici';

import type {ServiceName} from '@dottereldrift/core/types.js';
import type {SlotPolicy} from '@dottereldrift/limits/types.js';
import type {ServerInfo} from '@dottereldrift/membership/types.js';
import type {Assignment, Slice} from '@dottereldrift/ownership/types.js';

import type {HoldReport} from './answered_grants.js';
import type {SessionKeeper} from './session_keeper.js';

/** A server on this host. */
export interface LocalServer {
  readonly info: ServerInfo;
  readonly pool: Dispatcher;
  readonly policy: SlotPolicy;
  /** Name by which the server knows itself; undefined where servers do not say. */
  readonly instanceId?: string | undefined;
}

/** A heartbeat of a server that names itself and counts what it sends. */
export interface ServerHeartbeat {
  readonly info: ServerInfo;
  readonly instanceId: string;
  /** When the server started, in milliseconds since the Unix epoch. */
  readonly bornAtMs: number;
  /** Grows with every heartbeat of one life. */
  readonly sequence: number;
  /** What the server says of its keys; undefined when it says nothing, which proves nothing. */
  readonly report: HoldReport | undefined;
}

/** How grants reach the servers, and what bounds them. */
export interface RegistryOptions {
  /** Whether grants travel in the answers to heartbeats rather than being pushed. */
  readonly isAnswering: boolean;
  /** Time after which what leaves gets no new work, even if its slices could not be moved. */
  readonly leavingAdmissionMs: number;
  /** Longest time of one grant, in milliseconds. */
  readonly maxHoldMs: number;
  /** Most bytes that the rows of one answer take. */
  readonly maxGrantBytes: number;
}

/** What the registry asks of the session. */
export type RegistryKeeper = Pick<SessionKeeper, 'getEnd' | 'setServers'> &
  Pick<SessionKeeper, 'isJoined' | 'getEarlierServers' | 'hasFollowed'>;

/** What the registry asks of the assignments in force here. */
export interface OwnedSlices {
  /** Tells whether the slices known here are all that this daemon's server is to hold. */
  mayGrant(service: ServiceName): boolean;
  getAssignment(service: ServiceName): Assignment | undefined;
  /** Tells whether a planned move brings slices to this daemon. */
  isExpecting(service: ServiceName): boolean;
  /** Returns the slices that this daemon owns and has not released. */
  getHeldSlices(service: ServiceName): readonly Slice[];
}

/** Creates the policy that gives the slots of a server. */
export type PolicyFactory = (service: ServiceName, slots: number) => SlotPolicy;

/** Opens the connections to a server. */
export type ServerPoolFactory = (info: ServerInfo) => Dispatcher;

/** Time after which what leaves gets no new work, even if its slices could not be moved. */
export const LEAVING_ADMISSION_MS = 2_500;

/** Options of a daemon that pushes its grants. */
export const PUSHING: RegistryOptions = {
  isAnswering: false,
  leavingAdmissionMs: LEAVING_ADMISSION_MS,
  maxHoldMs: 10_000,
  maxGrantBytes: 1_000_000,
};
