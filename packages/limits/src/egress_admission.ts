/**
 * Admits requests whose responses can leave the host in time. A backend server with free slots may be
 * behind a link that its responses already fill; a request admitted there would hold a slot and bandwidth
 * for a response that arrives too late.
 */
import type {EgressPacer} from './egress_pacer.js';

/** Size of a response below which the link is not considered, in bytes. */
const MIN_BULK_BYTES = 16 * 1_024;
/**
 * Fraction of the remaining time that the responses ahead and the response itself may take on this link. The
 * rest is for the backend server and for the links of the other hosts on the way.
 */
const LINK_SHARE = 0.6;

/** The part of a pacer that admission reads. */
export type EgressBacklog = Pick<
  EgressPacer,
  'getQueuedBytes' | 'computeSendMs'
>;

/** Reserves the link of a host for responses that are still to be sent. */
export class EgressAdmission {
  private reservedBytes = 0;

  constructor(private readonly backlog: EgressBacklog) {}

  /**
   * Reserves the link for a response of the expected size, in bytes. Returns the function that ends the
   * reservation, to be called once the response has been queued or has failed, or undefined if the response would
   * take too long. An idle link admits any response.
   */
  tryReserve(expectedBytes: number, leftMs: number): (() => void) | undefined {
    if (expectedBytes < MIN_BULK_BYTES) return () => {};
    const aheadBytes = this.backlog.getQueuedBytes() + this.reservedBytes;
    const sendMs = this.backlog.computeSendMs(aheadBytes + expectedBytes);
    if (aheadBytes > 0 && sendMs > leftMs * LINK_SHARE) return undefined;
    this.reservedBytes += expectedBytes;
    let isReserved = true;
    return () => {
      if (isReserved) this.reservedBytes -= expectedBytes;
      isReserved = false;
    };
  }
}
