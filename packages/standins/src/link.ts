/**
 * A stand-in of the network path to one address: relays TCP connections and UDP datagrams to it, and
 * stops or delays either direction on demand, for all sources or for one. A stopped TCP direction
 * stalls, as a lost path does, and goes on once it is restored; a stopped datagram is lost.
 */
import {createSocket, type Socket as DatagramSocket} from 'node:dgram';
import {connect, createServer, type Server, type Socket} from 'node:net';

import {
  createNodeSystem,
  type System,
  waitFor,
} from '@dottereldrift/core/system.js';
import type {Address} from '@dottereldrift/core/types.js';

/** What a link does with traffic. */
export interface LinkRule {
  /** Whether what the source sends arrives at the target. */
  readonly passesRequests: boolean;
  /** Whether what the target sends back arrives at the source. */
  readonly passesAnswers: boolean;
  /** Added to each direction, in milliseconds. */
  readonly delayMs: number;
}

/** A path that passes everything at once. */
export const CLEAR_LINK: LinkRule = {
  passesRequests: true,
  passesAnswers: true,
  delayMs: 0,
};

type Direction = 'requests' | 'answers';

/** Relays traffic from one address to another. */
export class Link {
  private readonly server: Server;
  private readonly datagrams: DatagramSocket;
  private readonly rules = new Map<string, LinkRule>();
  private readonly sockets = new Set<Socket>();
  /** For each source of datagrams, the socket that stands for it towards the target. */
  private readonly returnPaths = new Map<string, DatagramSocket>();
  private waiting: Array<() => void> = [];
  private isClosed = false;

  constructor(
    private readonly address: Address,
    private readonly target: Address,
    private readonly system: System = createNodeSystem(),
  ) {
    this.server = createServer({pauseOnConnect: true}, socket => {
      this.forwardConnection(socket);
    });
    this.datagrams = createSocket('udp4');
    this.datagrams.on('message', (bytes, from) => {
      void this.forwardDatagram(bytes, {ip: from.address, port: from.port});
    });
  }

  /** Starts to relay; rejects when the address is taken. */
  async open(): Promise<void> {
    const {ip, port} = this.address;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, resolve);
    });
    await new Promise<void>((resolve, reject) => {
      this.datagrams.once('error', reject);
      this.datagrams.bind(port, ip, resolve);
    });
  }

  /** Changes the rule for traffic from one source IP number, or from all others. */
  setRule(rule: LinkRule, sourceIp = ''): void {
    this.rules.set(sourceIp, rule);
    this.wakeAll();
  }

  /** Removes the rule of one source IP number, or of all. */
  clearRule(sourceIp?: string): void {
    if (sourceIp === undefined) this.rules.clear();
    else this.rules.delete(sourceIp);
    this.wakeAll();
  }

  /** Breaks every connection and stops. */
  async close(): Promise<void> {
    this.isClosed = true;
    for (const socket of this.sockets) socket.destroy();
    for (const socket of this.returnPaths.values()) socket.close();
    this.datagrams.close();
    this.wakeAll();
    await new Promise<void>(resolve => {
      this.server.close(() => {
        resolve();
      });
    });
  }

  private forwardConnection(source: Socket): void {
    const sourceIp = source.remoteAddress ?? '';
    const {ip, port} = this.target;
    const target = connect({host: ip, port});
    for (const socket of [source, target]) {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => {});
      socket.once('close', () => {
        this.sockets.delete(socket);
        source.destroy();
        target.destroy();
      });
    }
    void this.passStream(source, target, sourceIp, 'requests');
    void this.passStream(target, source, sourceIp, 'answers');
  }

  private async passStream(
    from: Socket,
    to: Socket,
    sourceIp: string,
    direction: Direction,
  ): Promise<void> {
    try {
      for await (const chunk of from) {
        await this.waitForPass(sourceIp, direction);
        if (!to.write(chunk as Buffer) && !to.destroyed)
          await new Promise(resolve => to.once('drain', resolve));
      }
      await this.waitForPass(sourceIp, direction);
      to.end();
    } catch {
      to.destroy();
    }
  }

  private async waitForPass(
    sourceIp: string,
    direction: Direction,
  ): Promise<void> {
    const {delayMs} = this.getRule(sourceIp);
    if (delayMs > 0) await waitFor(this.system, delayMs);
    while (!this.isClosed && !this.mayPass(sourceIp, direction))
      await new Promise<void>(resolve => this.waiting.push(resolve));
  }

  private async forwardDatagram(bytes: Buffer, from: Address): Promise<void> {
    const path = this.getReturnPath(from);
    if (!this.mayPass(from.ip, 'requests')) return;
    const {delayMs} = this.getRule(from.ip);
    if (delayMs > 0) await waitFor(this.system, delayMs);
    if (!this.isClosed) path.send(bytes, this.target.port, this.target.ip);
  }

  private getReturnPath(source: Address): DatagramSocket {
    const name = `${source.ip}:${source.port}`;
    const present = this.returnPaths.get(name);
    if (present !== undefined) return present;
    const path = createSocket('udp4');
    path.on('error', () => {});
    path.on('message', bytes => {
      void this.answerDatagram(bytes, source);
    });
    this.returnPaths.set(name, path);
    return path;
  }

  private async answerDatagram(bytes: Buffer, source: Address): Promise<void> {
    if (!this.mayPass(source.ip, 'answers')) return;
    const {delayMs} = this.getRule(source.ip);
    if (delayMs > 0) await waitFor(this.system, delayMs);
    if (!this.isClosed) this.datagrams.send(bytes, source.port, source.ip);
  }

  private mayPass(sourceIp: string, direction: Direction): boolean {
    const rule = this.getRule(sourceIp);
    return direction === 'requests' ? rule.passesRequests : rule.passesAnswers;
  }

  private getRule(sourceIp: string): LinkRule {
    return this.rules.get(sourceIp) ?? this.rules.get('') ?? CLEAR_LINK;
  }

  private wakeAll(): void {
    const {waiting} = this;
    this.waiting = [];
    for (const wake of waiting) wake();
  }
}
