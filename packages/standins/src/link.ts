/**
 * A proxy that simulates the network path to one address: forwards TCP connections and UDP datagrams
 * to it, and blocks or delays either direction on demand, for all sources or for one. A blocked TCP
 * direction stalls, as on a lost network path, and resumes when unblocked; a blocked datagram is lost.
 */
import {createSocket, type Socket as DatagramSocket} from 'node:dgram';
import {connect, createServer, type Server, type Socket} from 'node:net';

import {
  createNodeSystem,
  type System,
  waitFor,
} from '@dottereldrift/core/system.js';
import type {Address} from '@dottereldrift/core/types.js';

/** How a link treats traffic. */
export interface LinkRule {
  /** Whether traffic from the source reaches the target. */
  readonly passesRequests: boolean;
  /** Whether traffic from the target reaches the source. */
  readonly passesAnswers: boolean;
  /** Delay added in each direction, in milliseconds. */
  readonly delayMs: number;
}

/** Passes all traffic in both directions without delay. */
export const UNIMPAIRED_LINK: LinkRule = {
  passesRequests: true,
  passesAnswers: true,
  delayMs: 0,
};

type Direction = 'requests' | 'answers';

/** Forwards traffic that arrives at one address to another. */
export class Link {
  private readonly server: Server;
  private readonly datagramSocket: DatagramSocket;
  private readonly rules = new Map<string, LinkRule>();
  private readonly sockets = new Set<Socket>();
  /** The socket that exchanges datagrams with the target on behalf of each source, by `ip:port`. */
  private readonly upstreamSockets = new Map<string, DatagramSocket>();
  /** Callbacks of the stream forwarders that wait for their direction to be unblocked. */
  private waiters: Array<() => void> = [];
  private isClosed = false;

  constructor(
    private readonly address: Address,
    private readonly target: Address,
    private readonly system: System = createNodeSystem(),
  ) {
    this.server = createServer({pauseOnConnect: true}, socket => {
      this.forwardConnection(socket);
    });
    this.datagramSocket = createSocket('udp4');
    this.datagramSocket.on('message', (bytes, from) => {
      void this.forwardDatagram(bytes, {ip: from.address, port: from.port});
    });
  }

  /** Starts to forward traffic; rejects when the address is in use. */
  async open(): Promise<void> {
    const {ip, port} = this.address;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, resolve);
    });
    await new Promise<void>((resolve, reject) => {
      this.datagramSocket.once('error', reject);
      this.datagramSocket.bind(port, ip, resolve);
    });
  }

  /** Sets the rule for one source IP address, or the default rule when none is given. */
  setRule(rule: LinkRule, sourceIp = ''): void {
    this.rules.set(sourceIp, rule);
    this.wakeAll();
  }

  /** Removes the rule of one source IP address, or all rules. */
  clearRule(sourceIp?: string): void {
    if (sourceIp === undefined) this.rules.clear();
    else this.rules.delete(sourceIp);
    this.wakeAll();
  }

  /** Closes every connection and stops listening. */
  async close(): Promise<void> {
    this.isClosed = true;
    for (const socket of this.sockets) socket.destroy();
    for (const socket of this.upstreamSockets.values()) socket.close();
    this.datagramSocket.close();
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
        source.destroySoon();
        target.destroySoon();
      });
    }
    void this.forwardStream(source, target, sourceIp, 'requests');
    void this.forwardStream(target, source, sourceIp, 'answers');
  }

  private async forwardStream(
    from: Socket,
    to: Socket,
    sourceIp: string,
    direction: Direction,
  ): Promise<void> {
    try {
      for await (const chunk of from) {
        await this.waitUntilPassing(sourceIp, direction);
        if (!to.write(chunk as Buffer) && !to.destroyed)
          await new Promise(resolve => to.once('drain', resolve));
      }
      await this.waitUntilPassing(sourceIp, direction);
      to.end();
    } catch {
      to.destroy();
    }
  }

  private async waitUntilPassing(
    sourceIp: string,
    direction: Direction,
  ): Promise<void> {
    const {delayMs} = this.getRule(sourceIp);
    if (delayMs > 0) await waitFor(this.system, delayMs);
    while (!this.isClosed && !this.mayPass(sourceIp, direction))
      await new Promise<void>(resolve => this.waiters.push(resolve));
  }

  private async forwardDatagram(bytes: Buffer, from: Address): Promise<void> {
    const upstream = this.getUpstreamSocket(from);
    if (!this.mayPass(from.ip, 'requests')) return;
    const {delayMs} = this.getRule(from.ip);
    if (delayMs > 0) await waitFor(this.system, delayMs);
    if (!this.isClosed) upstream.send(bytes, this.target.port, this.target.ip);
  }

  private getUpstreamSocket(source: Address): DatagramSocket {
    const sourceAddress = `${source.ip}:${source.port}`;
    const existing = this.upstreamSockets.get(sourceAddress);
    if (existing !== undefined) return existing;
    const upstream = createSocket('udp4');
    upstream.on('error', () => {});
    upstream.on('message', bytes => {
      void this.forwardReplyDatagram(bytes, source);
    });
    this.upstreamSockets.set(sourceAddress, upstream);
    return upstream;
  }

  private async forwardReplyDatagram(
    bytes: Buffer,
    source: Address,
  ): Promise<void> {
    if (!this.mayPass(source.ip, 'answers')) return;
    const {delayMs} = this.getRule(source.ip);
    if (delayMs > 0) await waitFor(this.system, delayMs);
    if (!this.isClosed) this.datagramSocket.send(bytes, source.port, source.ip);
  }

  private mayPass(sourceIp: string, direction: Direction): boolean {
    const rule = this.getRule(sourceIp);
    return direction === 'requests' ? rule.passesRequests : rule.passesAnswers;
  }

  private getRule(sourceIp: string): LinkRule {
    return this.rules.get(sourceIp) ?? this.rules.get('') ?? UNIMPAIRED_LINK;
  }

  private wakeAll(): void {
    const {waiters} = this;
    this.waiters = [];
    for (const wake of waiters) wake();
  }
}
