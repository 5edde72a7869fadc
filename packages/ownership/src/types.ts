/**
 * Shapes of ownership: slices of the ring and who owns them.
 */
import type {Member, ServiceName, Token} from '@dottereldrift/core/types.js';

/** A stretch of the ring from its start to the start of the next slice. */
export interface Slice {
  /** First position of the slice. */
  readonly start: number;
  readonly owner: Member | undefined;
  /** Generation of the write that gave the slice to its owner. */
  readonly token: Token;
  /** Member that a planned move gives the slice to. */
  readonly nextOwner: Member | undefined;
  /**
   * Token since which the owner's records of idempotency keys are complete. A planned move keeps it,
   * for the records come along; a takeover sets it to its own token; 0 means from the start.
   */
  readonly recordsSince: Token;
  /** What the last owner's server gave so that the next one starts warm; absent for none. */
  readonly handover?: string;
}

/** Who owns the keys of one service. */
export interface Assignment {
  readonly service: ServiceName;
  /** Grows by one with every write. */
  readonly generation: number;
  /** Slices in the order of their starts; the first starts at 0. */
  readonly slices: readonly Slice[];
  /** Member that wrote this generation. */
  readonly writer: Member;
}

/** An assignment with the version of its object. */
export interface VersionedAssignment {
  readonly assignment: Assignment;
  readonly version: number;
}

/** A slice under one token. */
export interface SliceRef {
  readonly start: number;
  readonly token: Token;
  /** For a slice that was released: what the server gave for the next owner. */
  readonly handover?: string;
  /** For a slice that is asked for: the first position behind it. */
  readonly end?: number;
}
