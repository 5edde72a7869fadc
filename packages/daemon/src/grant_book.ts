/**
 * What a daemon knows of the grants of one backend server, whichever way they reach it: pushed by the
 * daemon, or carried in the answers to the server's heartbeats.
 */
import type {Dispatcher} from 'undici';

import type {Instant} from '@dottereldrift/core/types.js';
import type {Assignment, Slice} from '@dottereldrift/ownership/types.js';

/** What a grant is made from. */
export interface GrantSource {
  /** Returns the assignment in force here; undefined when there is none. */
  getAssignment(): Assignment | undefined;
  /** The slices that the server may run requests of. */
  getSlices(): readonly Slice[];
  /** When the daemon's lease ends unless it is renewed. */
  getLeaseEnd(): Instant;
}

/** The grants of one service on this host. */
export interface GrantBook {
  /** Tells whether the server has taken a slice and may still run requests of it. */
  isGranted(slice: Slice): boolean;
  /** Returns the end of the newest grant that the server has taken. */
  getAcknowledgedEnd(): Instant;
  /** Tells whether no grant that was ever given lets a server start a request now. */
  hasLapsed(): boolean;
  /** Monotonic time at which every grant that was ever given has ended. */
  getLatestEndMs(): number;
  /** Milliseconds for which the server has left a grant unanswered. */
  getUnansweredMs(): number;
  /** Forgets what the server has taken: it is gone, or another one came. */
  reset(): void;
  /** Notes that the server which had the grants is proved to be gone, so that they bind nobody. */
  endProvedGone(): void;
  /** Brings the server its newest grant, where the daemon is the one to call. */
  send(server: Dispatcher): Promise<void>;
  /** Makes the server confirm its list of slices; true once it has. */
  tryConfirm(server: Dispatcher): Promise<boolean>;
}
