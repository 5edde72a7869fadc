/**
 * A request body that is streamed to its destination as it arrives, at most once. The outgoing stream is
 * separate from the caller's stream, so that destroying it leaves the caller's connection open for the
 * response.
 */
import {Readable} from 'node:stream';

/** Thrown when a request body exceeds its size limit. */
export class UploadTooLargeError extends Error {
  override readonly name = 'UploadTooLargeError';

  constructor(readonly limitBytes: number) {
    super('The body is larger than its limit.');
  }
}

/** The streamed body of one request. */
export class Upload {
  private hasStartedReading = false;
  private bytes = 0;

  constructor(
    private readonly source: Readable,
    private readonly limitBytes: number,
  ) {}

  /** Returns whether nothing has been read yet, so that the body can still be sent. */
  isUnread(): boolean {
    return !this.hasStartedReading;
  }

  /** Returns whether more bytes were received than the limit allows. */
  isTooLarge(): boolean {
    return this.bytes > this.limitBytes;
  }

  /** Creates the stream for one connection. Reading the source starts when the stream is first read. */
  createStream(): Readable {
    const {source} = this;
    const stream = new Readable({
      read: () => {
        this.startReading(stream);
        source.resume();
      },
      destroy: (error, callback) => {
        this.onData = chunk => {
          this.dropChunk(chunk);
        };
        if (this.hasStartedReading) source.resume();
        callback(error);
      },
    });
    return stream;
  }

  private onData: (chunk: Buffer) => void = () => {};

  private startReading(stream: Readable): void {
    if (this.hasStartedReading) return;
    this.hasStartedReading = true;
    this.onData = chunk => {
      this.passChunk(stream, chunk);
    };
    this.source.on('data', (chunk: Buffer) => {
      this.onData(chunk);
    });
    this.source.once('end', () => stream.push(null));
    this.source.once('error', error => stream.destroy(error));
    this.source.once('close', () => {
      if (!this.source.readableEnded) stream.destroy(new Error('aborted'));
    });
  }

  private dropChunk(chunk: Buffer): void {
    this.bytes += chunk.byteLength;
    if (this.isTooLarge()) this.source.destroy();
  }

  private passChunk(stream: Readable, chunk: Buffer): void {
    this.bytes += chunk.byteLength;
    if (this.isTooLarge())
      stream.destroy(new UploadTooLargeError(this.limitBytes));
    else if (!stream.push(chunk)) this.source.pause();
  }
}
