/**
 * The body of a request that is streamed to its destination as it arrives, once. The stream that is
 * handed to the connection is separate from the caller's, so that its end leaves the caller's
 * connection open for the answer.
 */
import {Readable} from 'node:stream';

/** Error of a body that is larger than its limit. */
export class UploadTooLargeError extends Error {
  override readonly name = 'UploadTooLargeError';

  constructor(readonly limitBytes: number) {
    super('The body is larger than its limit.');
  }
}

/** Body of one request, streamed at most once. */
export class Upload {
  private isTaken = false;
  private bytes = 0;

  constructor(
    private readonly source: Readable,
    private readonly limitBytes: number,
  ) {}

  /** Tells whether nothing has been read of the body, so that it can still be sent. */
  isUntouched(): boolean {
    return !this.isTaken;
  }

  /** Tells whether more bytes came than are allowed. */
  isTooLarge(): boolean {
    return this.bytes > this.limitBytes;
  }

  /** Returns the body for one connection. The source is first read when the connection reads. */
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
        if (this.isTaken) source.resume();
        callback(error);
      },
    });
    return stream;
  }

  private onData: (chunk: Buffer) => void = () => {};

  private startReading(stream: Readable): void {
    if (this.isTaken) return;
    this.isTaken = true;
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
