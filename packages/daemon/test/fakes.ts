/**
 * Fakes for tests of request handling: a scripted TCP server, a sink that records the answer it
 * receives, and a system whose timers fire on command.
 */
import {once} from 'node:events';
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from 'node:net';

import type {Cancel, System} from '@dottereldrift/core/system.js';
import type {Instant} from '@dottereldrift/core/types.js';

import type {AnswerSink} from '../src/exchange.js';
import {type Limits, settingsSchema} from '../src/settings.js';

/** A TCP server that passes the bytes of every connection to a script. */
export class FakeServer {
  /** Data received, one string per connection, in the order of the connections. */
  readonly received: string[] = [];
  readonly sockets: Socket[] = [];
  private readonly server: Server;

  /** Creates the server; `script` is called with everything that a connection has received so far. */
  constructor(script: (socket: Socket, text: string) => void) {
    this.server = createServer(socket => {
      const index = this.sockets.push(socket) - 1;
      this.received.push('');
      socket.on('error', () => {});
      socket.on('data', chunk => {
        this.received[index] += chunk.toString('latin1');
        script(socket, this.received[index] ?? '');
      });
    });
  }

  async start(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Counts the requests that began on any connection. */
  countRequests(): number {
    return this.received.join('').split(' HTTP/1.1\r\n').length - 1;
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
    await once(this.server, 'close');
  }
}

/** Records an answer. */
export class RecordingSink implements AnswerSink {
  status = 0;
  headers: Record<string, string | string[]> = {};
  body = '';
  trailers: Readonly<Record<string, string | string[]>> = {};
  state: 'none' | 'started' | 'whole' | 'cut' = 'none';
  /** Called with every chunk. */
  onChunk: () => void = () => {};

  startAnswer(
    status: number,
    headers: Record<string, string | string[]>,
  ): void {
    this.status = status;
    this.headers = headers;
    this.state = 'started';
  }

  writeChunk(chunk: Buffer): boolean {
    this.body += chunk.toString('latin1');
    this.onChunk();
    return true;
  }

  waitForDrain(callback: () => void): void {
    callback();
  }

  getBytes(): number {
    return this.body.length;
  }

  endAnswer(trailers: Readonly<Record<string, string | string[]>>): void {
    this.trailers = trailers;
    this.state = 'whole';
  }

  abort(): void {
    this.state = 'cut';
  }
}

/** A system whose clock stands still and whose timers fire on command. */
export class ManualSystem implements System {
  now: Instant = {monotonicMs: 1_000, wallMs: 1_700_000_000_000};
  private timers: Array<{
    readonly atMs: number;
    readonly callback: () => void;
  }> = [];

  getNow(): Instant {
    return this.now;
  }

  startTimer(delayMs: number, callback: () => void): Cancel {
    const timer = {atMs: this.now.monotonicMs + delayMs, callback};
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter(other => other !== timer);
    };
  }

  /** Advances both clocks and fires the timers that are due, in order. */
  shift(byMs: number): void {
    const {monotonicMs, wallMs} = this.now;
    this.now = {monotonicMs: monotonicMs + byMs, wallMs: wallMs + byMs};
    const due = this.timers
      .filter(timer => timer.atMs <= this.now.monotonicMs)
      .sort((a, b) => a.atMs - b.atMs);
    this.timers = this.timers.filter(timer => !due.includes(timer));
    for (const timer of due) timer.callback();
  }

  countTimers(): number {
    return this.timers.length;
  }

  getRandom(): number {
    return 0.5;
  }

  createId(): string {
    return 'id';
  }
}

/** Returns the default limits of a daemon. */
export function createLimits(): Limits {
  const address = {ip: '127.0.0.1', port: 1};
  const settings = settingsSchema.parse({
    host: 'h',
    dataCentre: 'd',
    region: 'r',
    callerAddress: address,
    peerAddress: address,
    serverAddress: address,
    operatorAddress: address,
    storeUrl: 'http://127.0.0.1:1',
    peerKey: 'x'.repeat(16),
    operatorKey: 'x'.repeat(16),
  });
  return settings.limits;
}
