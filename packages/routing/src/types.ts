/**
 * Types for routing: targets, candidates, decisions and failed attempts.
 */
import type {MessageCode} from '@dottereldrift/core/messages.js';
import type {
  Address,
  HostName,
  Member,
  Outcome,
  ServiceName,
} from '@dottereldrift/core/types.js';

/** Target of a request, from its path. */
export interface RequestTarget {
  readonly service: ServiceName;
  /** Undefined for a service that is not sharded (division `none`). */
  readonly key: string | undefined;
  /** Path and query to send to the backend server, starting with a slash. */
  readonly path: string;
}

/** A daemon that a request may be sent to. */
export interface Candidate {
  readonly member: Member;
  readonly peerAddress: Address;
  readonly isLocal: boolean;
}

/** Routing decision: send to a candidate, wait, or fail. */
export type RouteDecision =
  | {
      readonly kind: 'send';
      readonly candidate: Candidate;
      readonly generation: number;
    }
  | {readonly kind: 'wait'; readonly code: MessageCode}
  | {readonly kind: 'fail'; readonly code: MessageCode};

/** Result of an attempt that got no answer from a backend server. */
export interface AttemptFailure {
  readonly outcome: Exclude<Outcome, 'completed'>;
  readonly code: MessageCode;
  readonly text: string;
  /** Time to wait before a retry. */
  readonly retryAfterMs: number;
  /** Generation known to the host that refused because it does not own the key. */
  readonly ownerGeneration?: number;
  /** Share of the requests of this kind that the refusing host advises to offer to it; undefined if unknown. */
  readonly offerShare?: number;
  /** Host of the last attempt, if there was one. */
  readonly host?: HostName;
}
