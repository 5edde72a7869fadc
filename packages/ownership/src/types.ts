/**
 * Types of ownership: slices of the ring and their assignment to owners.
 */
import type {Member, ServiceName, Token} from '@dottereldrift/core/types.js';
import type {VersionedValue} from '@dottereldrift/store/version.js';

/** A contiguous range of the ring that ends at the start of the next slice. */
export interface Slice {
  /** First position of the slice. */
  readonly start: number;
  readonly owner: Member | undefined;
  /** Fencing token: generation of the assignment that gave the slice to its owner. */
  readonly token: Token;
  /** Target of a planned move in progress. */
  readonly nextOwner: Member | undefined;
  /**
   * Token from which the owner's idempotency records are complete. A planned move transfers the records
   * and keeps this value; a takeover sets it to the new token; 0 means complete since the beginning.
   */
  readonly recordsSince: Token;
  /** Data from the previous owner's server that lets the next one start warm; absent if there is none. */
  readonly handover?: string;
}

/** Assignment of one service's slices to owners. */
export interface Assignment {
  readonly service: ServiceName;
  /** Incremented by one with every write. */
  readonly generation: number;
  /** Ordered by start; the first slice starts at 0. */
  readonly slices: readonly Slice[];
  /** Member that wrote this generation. */
  readonly writer: Member;
}

/** An assignment with the version of its object in the store. */
export interface VersionedAssignment extends VersionedValue {
  readonly assignment: Assignment;
}

/** Reference to a slice under a specific token. */
export interface SliceRef {
  readonly start: number;
  readonly token: Token;
  /** For a released slice: data from the server for the next owner. */
  readonly handover?: string;
  /** For a slice whose release is requested: its end position (exclusive). */
  readonly end?: number;
}
