/**
 * Paces large responses at the bandwidth of the host's link. A link that is slower than the responses written to
 * it queues their bytes, and every later message waits behind them: calls between backend servers,
 * heartbeats and lease renewals. Responses are sent one after the other, so that the first ones are complete
 * while later ones still wait.
 */
import type {Cancel, System} from '@dottereldrift/core/system.js';

/** Fraction of the bandwidth that large responses may use; the rest is for all other messages. */
const BULK_SHARE = 0.8;
/** Time that the bytes written at once may take, in milliseconds; a later message may have to wait for it. */
const MAX_SLICE_MS = 5;
/** Bytes that may be written at once on any link; smaller writes would cost too much processor time. */
const MIN_SLICE_BYTES = 16 * 1_024;
/** Maximum number of bytes of one response that are queued before reading it is paused. */
const MAX_QUEUED_BYTES = 256 * 1_024;
/** Idle time of the link that can be made up for, in milliseconds, because timers fire late. */
const MAX_CREDIT_MS = 20;
/** Bandwidth from which a link is not paced: 100 KB take 4 ms. */
const FAST_LINK_BITS_PER_SECOND = 200_000_000;
const BITS_PER_BYTE = 8;
const MS_PER_SECOND = 1_000;

/** Destination of a response; its write returns false when the receiver cannot keep up. */
export interface EgressTarget {
  write(chunk: Buffer): boolean;
  /** Calls back once when the receiver has caught up. */
  waitForDrain(callback: () => void): void;
}

/**
 * Creates a pacer for a link. Returns undefined for a fast link, which sends a large response in less time than a daemon
 * takes to relay it, and for one whose bandwidth is not known.
 */
export function createPacer(
  system: System,
  bitsPerSecond: number | undefined,
): EgressPacer | undefined {
  const isPaced =
    bitsPerSecond !== undefined && bitsPerSecond < FAST_LINK_BITS_PER_SECOND;
  return isPaced ? new EgressPacer(system, bitsPerSecond) : undefined;
}

/** Divides the bandwidth of a link among large responses. */
export class EgressPacer {
  /** Responses with queued bytes, in order of arrival. */
  private readonly transfers = new Set<EgressTransfer>();
  private readonly bytesPerMs: number;
  private readonly sliceBytes: number;
  /** Monotonic time at which the bytes written so far have left the link. */
  private idleAtMs = -Infinity;
  private cancelTimer: Cancel | undefined;
  private isWriting = false;

  constructor(
    private readonly system: System,
    bitsPerSecond: number,
  ) {
    this.bytesPerMs =
      (bitsPerSecond * BULK_SHARE) / BITS_PER_BYTE / MS_PER_SECOND;
    this.sliceBytes = Math.max(
      MIN_SLICE_BYTES,
      Math.floor(this.bytesPerMs * MAX_SLICE_MS),
    );
  }

  /** Starts a response that is paced. */
  startTransfer(target: EgressTarget): EgressTransfer {
    return new EgressTransfer(target, {
      add: transfer => {
        this.transfers.add(transfer);
        this.writeSlices();
      },
      remove: transfer => {
        this.transfers.delete(transfer);
      },
      resume: () => {
        this.writeSlices();
      },
    });
  }

  /** Returns the number of bytes that wait for the link; those that wait for their receivers do not count. */
  getQueuedBytes(): number {
    let queuedBytes = 0;
    for (const transfer of this.transfers)
      if (transfer.isWritable()) queuedBytes += transfer.getQueuedBytes();
    return queuedBytes;
  }

  /** Returns how long the link takes for a number of bytes, in milliseconds. */
  computeSendMs(bytes: number): number {
    return bytes / this.bytesPerMs;
  }

  /** Writes what the link can carry now. Reentrant calls return; the running loop covers them. */
  private writeSlices(): void {
    if (this.isWriting || this.cancelTimer !== undefined) return;
    this.isWriting = true;
    try {
      this.writeUntilBusy();
    } finally {
      this.isWriting = false;
    }
  }

  private writeUntilBusy(): void {
    for (;;) {
      const transfer = this.findWritable();
      if (transfer === undefined) return;
      const nowMs = this.system.getNow().monotonicMs;
      if (this.idleAtMs > nowMs) {
        this.cancelTimer = this.system.startTimer(this.idleAtMs - nowMs, () => {
          this.cancelTimer = undefined;
          this.writeSlices();
        });
        return;
      }
      const sentBytes = transfer.writeSlice(this.sliceBytes);
      this.idleAtMs =
        Math.max(this.idleAtMs, nowMs - MAX_CREDIT_MS) +
        this.computeSendMs(sentBytes);
    }
  }

  private findWritable(): EgressTransfer | undefined {
    for (const transfer of this.transfers)
      if (transfer.isWritable()) return transfer;
    return undefined;
  }
}

/** The queue of the pacer, as its responses see it. */
interface EgressQueue {
  /** Adds a response that has queued bytes. */
  add(transfer: EgressTransfer): void;
  /** Removes a response that has none left. */
  remove(transfer: EgressTransfer): void;
  resume(): void;
}

/** One paced response. */
export class EgressTransfer {
  private readonly chunks: Buffer[] = [];
  private queuedBytes = 0;
  private isBlocked = false;
  private isCancelled = false;
  private readonly drainListeners: Array<() => void> = [];
  private onEnd: (() => void) | undefined;

  constructor(
    private readonly target: EgressTarget,
    private readonly queue: EgressQueue,
  ) {}

  /** Queues a chunk; returns false when no more should be read until the queue has drained. */
  writeChunk(chunk: Buffer): boolean {
    if (this.isCancelled) return true;
    this.chunks.push(chunk);
    this.queuedBytes += chunk.byteLength;
    this.queue.add(this);
    return this.queuedBytes <= MAX_QUEUED_BYTES;
  }

  /** Calls back once when more may be read. */
  waitForDrain(callback: () => void): void {
    if (this.queuedBytes <= MAX_QUEUED_BYTES) callback();
    else this.drainListeners.push(callback);
  }

  /** Calls back when the last byte has been written; not at all if the response is cancelled. */
  end(callback: () => void): void {
    if (this.isEmpty()) callback();
    else this.onEnd = callback;
  }

  /** Discards the queued bytes, because the receiver has disconnected. */
  cancel(): void {
    if (this.isCancelled) return;
    this.isCancelled = true;
    this.chunks.length = 0;
    this.queuedBytes = 0;
    this.onEnd = undefined;
    this.queue.remove(this);
    this.notifyDrained();
    this.queue.resume();
  }

  getQueuedBytes(): number {
    return this.queuedBytes;
  }

  isEmpty(): boolean {
    return this.queuedBytes === 0;
  }

  isWritable(): boolean {
    return !this.isBlocked && !this.isEmpty();
  }

  /** Writes at most the given number of bytes; returns how many were written. */
  writeSlice(maxBytes: number): number {
    const [first] = this.chunks;
    if (first === undefined) return 0;
    const slice = first.subarray(0, maxBytes);
    if (slice.byteLength === first.byteLength) this.chunks.shift();
    else this.chunks[0] = first.subarray(maxBytes);
    this.queuedBytes -= slice.byteLength;
    if (this.isEmpty()) this.queue.remove(this);
    if (!this.target.write(slice)) {
      this.isBlocked = true;
      this.target.waitForDrain(() => {
        this.isBlocked = false;
        this.queue.resume();
      });
    }
    if (this.queuedBytes <= MAX_QUEUED_BYTES) this.notifyDrained();
    if (this.isEmpty()) this.onEnd?.();
    return slice.byteLength;
  }

  private notifyDrained(): void {
    for (const listener of this.drainListeners.splice(0)) listener();
  }
}
