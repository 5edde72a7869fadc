/**
 * Message streams over the virtual network. Messages are delivered in order; after a lost message the stream stalls
 * until the receiver cancels it or either end stops.
 */
import {
  CallError,
  type Endpoint,
  type VirtualNetwork,
} from './virtual_network.js';

/** Opens the sending side of a stream; the signal aborts when the receiver cancels. */
export type StreamSource<T> = (abandoned: AbortSignal) => AsyncIterable<T>;

/** Yields the messages of a stream from a peer until either end stops. */
export async function* receiveStream<T>(
  network: VirtualNetwork,
  local: Endpoint,
  peer: Endpoint,
  open: StreamSource<T>,
  signal: AbortSignal,
): AsyncGenerator<T> {
  if (!peer.process.isRunning()) throw new CallError('refused');
  const buffer = new ReorderBuffer<T>();
  const abandonment = new AbortController();
  const end = () => {
    buffer.end();
  };
  signal.addEventListener('abort', end, {once: true});
  const stopWatching = peer.process.watchEnd(() => {
    local.process.deliver(end);
  });
  network.send(local.name, peer, () => {
    void sendAll(network, local, peer, open(abandonment.signal), buffer);
  });
  try {
    for (;;) {
      const message = await buffer.takeNext();
      if (message === undefined) throw new CallError('broken');
      yield message;
    }
  } finally {
    stopWatching();
    signal.removeEventListener('abort', end);
    network.send(local.name, peer, () => {
      abandonment.abort();
    });
  }
}

async function sendAll<T>(
  network: VirtualNetwork,
  local: Endpoint,
  peer: Endpoint,
  messages: AsyncIterable<T>,
  buffer: ReorderBuffer<T>,
): Promise<void> {
  let sent = 0;
  try {
    for await (const message of messages) {
      const sequence = sent;
      sent += 1;
      network.send(peer.name, local, () => {
        buffer.put(sequence, message);
      });
    }
  } catch {
    // The receiver sees a failed source as the end of the stream.
  }
  network.send(peer.name, local, () => {
    buffer.end();
  });
}

/** Reorders received messages by sequence number. */
class ReorderBuffer<T> {
  private readonly messages = new Map<number, T>();
  private next = 0;
  private isEnded = false;
  private wake: () => void = () => {};

  put(sequence: number, message: T): void {
    this.messages.set(sequence, message);
    this.wake();
  }

  end(): void {
    this.isEnded = true;
    this.wake();
  }

  /** Returns the next message in order, or undefined after the end of the stream. */
  async takeNext(): Promise<T | undefined> {
    while (!this.isEnded) {
      const message = this.messages.get(this.next);
      if (message !== undefined) {
        this.messages.delete(this.next);
        this.next += 1;
        return message;
      }
      await new Promise<void>(resolve => {
        this.wake = resolve;
      });
    }
    return undefined;
  }
}
