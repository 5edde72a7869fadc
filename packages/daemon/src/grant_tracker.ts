/**
 * What a daemon knows about the grants of one backend server. The daemon either pushes grants to
 * the server or sends them in the responses to the server's heartbeats.
 */
import type {Dispatcher} from 'undici';

import type {Instant} from '@dottereldrift/core/types.js';
import type {Assignment, Slice} from '@dottereldrift/ownership/types.js';

/** Inputs from which a grant is built. */
export interface GrantSource {
  /** Returns the assignment that this daemon has applied; undefined when there is none. */
  getAssignment(): Assignment | undefined;
  /** Returns the slices for which the server may run requests. */
  getSlices(): readonly Slice[];
  /** Returns the time at which the daemon's lease ends unless it is renewed. */
  getLeaseEnd(): Instant;
}

/** Tracks the grants of one service on this host. */
export interface GrantTracker {
  /** Tells whether the server has accepted a slice and may still run requests for it. */
  isGranted(slice: Slice): boolean;
  /** Returns the end of the newest grant that the server has accepted. */
  getAcknowledgedEnd(): Instant;
  /**
   * Tells whether every grant issued so far has expired, so that no server can start a request
   * under one.
   */
  hasLapsed(): boolean;
  /** Returns the monotonic time by which every grant issued so far has expired. */
  getLatestEndMs(): number;
  /** Returns for how many milliseconds the server has left a grant unanswered. */
  getUnansweredMs(): number;
  /** Discards what the server has accepted, because it is gone or was replaced. */
  reset(): void;
  /** Discards all grants, because the server that held them is known to have exited. */
  dropGrants(): void;
  /**
   * Sends the newest grant to the server; does nothing if grants are sent in responses to
   * heartbeats.
   */
  send(server: Dispatcher): Promise<void>;
  /** Makes the server confirm its current list of slices; resolves to true once it has. */
  tryConfirm(server: Dispatcher): Promise<boolean>;
}
