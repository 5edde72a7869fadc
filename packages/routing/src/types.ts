/**
 * Shapes of routing: where a request may go and what came of sending it.
 */
import type {MessageCode} from '@dottereldrift/core/messages.js';
import type {
  Address,
  HostName,
  Member,
  Outcome,
  ServiceName,
} from '@dottereldrift/core/types.js';

/** What a caller addresses. */
export interface RequestTarget {
  readonly service: ServiceName;
  /** Undefined for a service whose division is `none`. */
  readonly key: string | undefined;
  /** Path and query for the backend server, starting with a slash. */
  readonly path: string;
}

/** A daemon that a request may be sent to. */
export interface Candidate {
  readonly member: Member;
  readonly peerAddress: Address;
  readonly isLocal: boolean;
}

/** Where a request goes. */
export type RouteDecision =
  | {
      readonly kind: 'send';
      readonly candidate: Candidate;
      readonly generation: number;
    }
  | {readonly kind: 'wait'; readonly code: MessageCode}
  | {readonly kind: 'fail'; readonly code: MessageCode};

/** What came of one attempt that brought no answer of a backend server. */
export interface AttemptFailure {
  readonly outcome: Exclude<Outcome, 'completed'>;
  readonly code: MessageCode;
  readonly text: string;
  /** Time after which another try is worth while. */
  readonly retryAfterMs: number;
  /** Generation that the owner knows, when it refused because it does not own the key. */
  readonly ownerGeneration?: number;
  /** Host that was asked last; absent when none was. */
  readonly host?: HostName;
}
