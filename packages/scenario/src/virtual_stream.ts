/**
 * Streams of messages over the virtual network: they arrive in order, or the stream stands still
 * until the receiver gives up or one end is lost.
 */
import {CallError, type Place, type VirtualNetwork} from './virtual_network.js';

/** Opens the sending side of a stream. */
export type StreamSource<T> = (abandoned: AbortSignal) => AsyncIterable<T>;

/** Yields the messages that a place sends to another until either end stops. */
export async function* receiveStream<T>(
  network: VirtualNetwork,
  self: Place,
  peer: Place,
  open: StreamSource<T>,
  signal: AbortSignal,
): AsyncGenerator<T> {
  if (!peer.process.isRunning()) throw new CallError('refused');
  const inbox = new Inbox<T>();
  const abandonment = new AbortController();
  const end = () => {
    inbox.end();
  };
  signal.addEventListener('abort', end, {once: true});
  const stopWatching = peer.process.watchEnd(() => {
    self.process.deliver(end);
  });
  network.send(self.name, peer, () => {
    void sendAll(network, self, peer, open(abandonment.signal), inbox);
  });
  try {
    for (;;) {
      const message = await inbox.takeNext();
      if (message === undefined) throw new CallError('broken');
      yield message;
    }
  } finally {
    stopWatching();
    signal.removeEventListener('abort', end);
    network.send(self.name, peer, () => {
      abandonment.abort();
    });
  }
}

async function sendAll<T>(
  network: VirtualNetwork,
  self: Place,
  peer: Place,
  messages: AsyncIterable<T>,
  inbox: Inbox<T>,
): Promise<void> {
  let sent = 0;
  try {
    for await (const message of messages) {
      const number = sent;
      sent += 1;
      network.send(peer.name, self, () => {
        inbox.put(number, message);
      });
    }
  } catch {
    // The receiver learns of it as of any other end.
  }
  network.send(peer.name, self, () => {
    inbox.end();
  });
}

/** Puts messages in order. */
class Inbox<T> {
  private readonly messages = new Map<number, T>();
  private next = 0;
  private isEnded = false;
  private wake: () => void = () => {};

  put(number: number, message: T): void {
    this.messages.set(number, message);
    this.wake();
  }

  end(): void {
    this.isEnded = true;
    this.wake();
  }

  /** Waits for the next message; undefined after the end. */
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
