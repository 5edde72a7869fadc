/**
 * Sends uploads to servers whose responses have no length, and counts the responses that pass for complete.
 */
import {once} from 'node:events';
import {Readable} from 'node:stream';
import {Worker} from 'node:worker_threads';

import type {Dispatcher} from 'undici';

import {createNodeSystem} from '@dottereldrift/core/system.js';

import {AbandonmentSignal} from '../src/abandonment_signal.js';
import {sendAttempt} from '../src/http_attempt.js';
import {createServerPool} from '../src/server_pool.js';
import {Upload} from '../src/upload.js';
import {RecordingSink} from './fakes.js';

/** What happens to the connection of a response without a length. */
export type Ending =
  | 'reset'
  | 'reset-later'
  | 'reset-unread'
  | 'close-unread'
  | 'end-then-reset'
  | 'end-unread'
  | 'end-early'
  | 'end-after-upload'
  | 'answer-early';

/** Part of a response body. */
export const HALF = 'half';
/** A complete response body. */
export const WHOLE = 'whole';
/** Time between a response and the end of its connection. */
export const END_DELAY_MS = 20;
const DEADLINE_MS = 20_000;
const BUSY_MS = 15;
const BUSY_INTERVAL_MS = 17;

const system = createNodeSystem();

/** Uploads to one server. */
export interface UploadOptions {
  readonly ending: Ending;
  readonly pieceBytes: number;
  readonly pieces: number;
  /** Time between two pieces. */
  readonly pauseMs?: number;
}

/** A server in a thread of its own. */
export class CloseDelimitedServer {
  private constructor(
    private readonly worker: Worker,
    private readonly pool: Dispatcher,
  ) {}

  static async start(): Promise<CloseDelimitedServer> {
    const url = new URL('./close_delimited_server.js', import.meta.url);
    const worker = new Worker(url);
    const [port] = (await once(worker, 'message')) as [number];
    const pool = createServerPool({
      service: 'menu',
      address: {ip: '127.0.0.1', port},
      slots: 1,
      connections: 64,
      isLeaving: false,
    });
    return new CloseDelimitedServer(worker, pool);
  }

  /** Returns what the caller of an upload received. */
  async send(options: UploadOptions): Promise<string> {
    const sink = new RecordingSink();
    const source = Readable.from(createPieces(options));
    source.on('error', () => {});
    const result = await sendAttempt(system, {
      dispatcher: this.pool,
      peerName: 'the peer',
      method: 'POST',
      path: `/${options.ending}`,
      headers: {},
      body: {kind: 'stream', upload: new Upload(source, Infinity)},
      expiresAtMs: system.getNow().monotonicMs + DEADLINE_MS,
      deadlineMs: DEADLINE_MS,
      abandonment: new AbandonmentSignal(),
      answer: sink,
      readFailure: () => undefined,
      answerHeaders: {},
      maxKeptBytes: 0,
      mayEndWithConnection: true,
    });
    source.destroy();
    if (result.kind === 'failed') return `failed ${result.failure.code}`;
    return `${sink.state}: ${sink.body}`;
  }

  /** Counts by result what the callers of some uploads received. */
  async sendMany(
    options: UploadOptions,
    count: number,
    concurrency: number,
  ): Promise<Readonly<Record<string, number>>> {
    const counts: Record<string, number> = {};
    let left = count;
    const run = async () => {
      while (left > 0) {
        left -= 1;
        const text = await this.send(options);
        counts[text] = (counts[text] ?? 0) + 1;
      }
    };
    await Promise.all(Array.from({length: concurrency}, run));
    return counts;
  }

  async stop(): Promise<void> {
    await this.pool.destroy();
    await this.worker.terminate();
  }
}

/** Keeps the event loop busy most of the time; returns a function that ends this. */
export function startBusyLoop(): () => void {
  const timer = setInterval(() => {
    const endMs = performance.now() + BUSY_MS;
    while (performance.now() < endMs);
  }, BUSY_INTERVAL_MS);
  return () => {
    clearInterval(timer);
  };
}

async function* createPieces({
  pieceBytes,
  pieces,
  pauseMs = 0,
}: UploadOptions): AsyncGenerator<Buffer> {
  const piece = Buffer.alloc(pieceBytes);
  for (let index = 0; index < pieces; index++) {
    yield piece;
    if (pauseMs > 0) await new Promise(resolve => setTimeout(resolve, pauseMs));
  }
}
