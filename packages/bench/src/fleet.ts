/**
 * A whole deployment as separate processes on loopback: a store, a backend server on each host and a
 * daemon beside each. Every host has an IP number of its own.
 */
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {request} from 'undici';

import type {SlotPolicyName} from '@dottereldrift/limits/slot_policies.js';
import type {DaemonStatus} from '@dottereldrift/daemon/status.js';
import type {
  BackendServerOptions,
  RunRecord,
} from '@dottereldrift/standins/backend_server.js';
import {
  UNIMPAIRED_LINK,
  Link,
  type LinkRule,
} from '@dottereldrift/standins/link.js';
import type {
  StoreCounts,
  StoreFaults,
} from '@dottereldrift/standins/store_server.js';

import type {Deployment} from './deployments.js';
import {createHosts, SERVER_PORT} from './fleet_hosts.js';
import {FleetProcess} from './processes.js';

/** A host of the fleet. */
export interface FleetHost {
  readonly name: string;
  readonly ip: string;
  readonly dataCentre: string;
  readonly service: string;
  readonly settingsPath: string;
  readonly recordsPath: string;
  readonly serverOptions: BackendServerOptions;
}

/** How a fleet differs from its deployment. */
export interface FleetOptions {
  readonly deployment: Deployment;
  /** Directory for settings and records. */
  readonly directory: string;
  readonly stragglerShare: number;
  /** Whether the servers check fencing tokens; true when absent. */
  readonly isFencing?: boolean;
  /** Whether a link stands before each daemon and between each daemon and the store. */
  readonly hasLinks?: boolean;
  /** Program of the servers, called with service, IP number, port and daemon URL. */
  readonly serverMain?: string;
  /** Program of the daemons, called as the product is; the product when absent. */
  readonly daemonMain?: string;
  /** Slot policy of the daemons; the default of the settings when absent. */
  readonly slotPolicy?: SlotPolicyName;
  /** Whether daemons follow relays rather than the store; they do when absent. */
  readonly isRelayed?: boolean;
}

const CALLER_PORT = 7101;
const PEER_PORT = 7102;
const OPERATOR_PORT = 7104;
const PEER_LINK_PORT = 7202;
const STORE_LINK_PORT = 7205;
const READY_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 50;
const LAST_WORDS_LENGTH = 1_000;

/** Key by which the daemons of a test fleet know each other. */
export const TEST_PEER_KEY = 'test-peer-key-0123456789';
/** Key by which the daemons of a test fleet know operators. */
export const TEST_OPERATOR_KEY = 'test-operator-key-0123456789';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const BUNDLE = join(ROOT, 'dist/dottereldrift.cjs');
const STORE_MAIN = join(ROOT, 'packages/standins/dist/src/store_main.js');
const BACKEND_MAIN = join(ROOT, 'packages/standins/dist/src/backend_main.js');

/** A running fleet. */
export class Fleet {
  readonly hosts: readonly FleetHost[];
  private store: FleetProcess | undefined;
  private storeUrl = '';
  private readonly daemons = new Map<string, FleetProcess>();
  private readonly servers = new Map<string, FleetProcess>();
  /** For each host, the link on the way to its daemon. */
  private readonly peerLinks = new Map<string, Link>();
  /** For each host, the link on the way from its daemon to the store. */
  private readonly storeLinks = new Map<string, Link>();

  constructor(private readonly options: FleetOptions) {
    mkdirSync(options.directory, {recursive: true});
    this.hosts = createHosts(options);
  }

  /** Starts everything, submits the manifest and waits until every key has an owner. */
  async start(): Promise<void> {
    await this.startStore();
    if (this.options.hasLinks === true) await this.openLinks();
    await Promise.all(this.hosts.map(host => this.startDaemon(host)));
    await Promise.all(this.hosts.map(host => this.startServer(host)));
    await this.submitManifest(this.options.deployment.manifest);
    await this.waitUntilReady();
  }

  async startDaemon(host: FleetHost): Promise<FleetProcess> {
    this.writeSettings(host);
    const daemon = this.startProcess(`daemon ${host.name}`, [
      this.options.daemonMain ?? BUNDLE,
      'daemon',
      '--settings',
      host.settingsPath,
    ]);
    this.daemons.set(host.name, daemon);
    await daemon.waitForOutput('The daemon has started');
    return daemon;
  }

  async startServer(host: FleetHost): Promise<FleetProcess> {
    const {service, ip, port, daemonUrl} = host.serverOptions;
    const {serverMain} = this.options;
    const command =
      serverMain === undefined
        ? [BACKEND_MAIN, JSON.stringify(host.serverOptions)]
        : [serverMain, service, ip, String(port), daemonUrl];
    const server = this.startProcess(`server ${host.name}`, command);
    this.servers.set(host.name, server);
    await server.waitForOutput('listening');
    return server;
  }

  getHost(name: string): FleetHost {
    const host = this.hosts.find(other => other.name === name);
    if (host === undefined) throw new Error(`There is no host ${name}.`);
    return host;
  }

  getDaemon(host: FleetHost): FleetProcess {
    const daemon = this.daemons.get(host.name);
    if (daemon === undefined)
      throw new Error(`No daemon runs on ${host.name}.`);
    return daemon;
  }

  getServer(host: FleetHost): FleetProcess {
    const server = this.servers.get(host.name);
    if (server === undefined)
      throw new Error(`No server runs on ${host.name}.`);
    return server;
  }

  /** Returns the base URL for callers of a host's daemon. */
  getCallerUrl(host: FleetHost): string {
    return `http://${host.ip}:${CALLER_PORT}`;
  }

  /** Calls a daemon's listener for operators. */
  async callOperator(
    host: FleetHost,
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<{readonly status: number; readonly value: unknown}> {
    const answer = await request(`http://${host.ip}:${OPERATOR_PORT}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${TEST_OPERATOR_KEY}`,
        ...(body === undefined ? {} : {'content-type': 'application/json'}),
      },
      body: body === undefined ? null : JSON.stringify(body),
    });
    const text = await answer.body.text();
    return {
      status: answer.statusCode,
      value: text === '' ? undefined : JSON.parse(text),
    };
  }

  async getStatus(host: FleetHost): Promise<DaemonStatus> {
    const answer = await this.callOperator(host, 'GET', '/status');
    return answer.value as DaemonStatus;
  }

  async submitManifest(manifest: unknown): Promise<void> {
    const host = this.hosts[0];
    if (host === undefined) return;
    const text = JSON.stringify(manifest);
    const answer = await this.callOperator(host, 'PUT', '/manifest', {text});
    if (answer.status >= 300) throw new Error(JSON.stringify(answer.value));
  }

  async setStoreFaults(faults: Partial<StoreFaults>): Promise<void> {
    const answer = await request(`${this.storeUrl}/faults`, {
      method: 'PUT',
      body: JSON.stringify(faults),
    });
    await answer.body.dump();
  }

  async getStoreCounts(): Promise<StoreCounts> {
    const answer = await request(`${this.storeUrl}/counts`);
    return (await answer.body.json()) as StoreCounts;
  }

  /** Returns the objects in the store, as it is, by key. */
  async readStoreObjects(
    prefix: string,
  ): Promise<ReadonlyMap<string, Uint8Array>> {
    const answer = await request(`${this.storeUrl}/objects?prefix=${prefix}`);
    const body = (await answer.body.json()) as {
      readonly objects: ReadonlyArray<{
        readonly key: string;
        readonly value: string;
      }>;
    };
    return new Map(
      body.objects.map(({key, value}) => [key, Buffer.from(value, 'base64')]),
    );
  }

  /** Changes what passes between a host's daemon and the store. */
  setStoreLink(host: FleetHost, rule: Partial<LinkRule>): void {
    this.getLink(this.storeLinks, host).setRule({...UNIMPAIRED_LINK, ...rule});
  }

  /** Changes what passes from one daemon to another, and what the other answers. */
  setPeerLink(from: FleetHost, to: FleetHost, rule: Partial<LinkRule>): void {
    const link = this.getLink(this.peerLinks, to);
    link.setRule({...UNIMPAIRED_LINK, ...rule}, from.ip);
  }

  /** Changes what passes between a host's daemon and every other one, as seen from the host. */
  setHostLinks(host: FleetHost, rule: LinkRule): void {
    const {passesRequests, passesAnswers, delayMs} = rule;
    const reversed = {
      passesRequests: passesAnswers,
      passesAnswers: passesRequests,
      delayMs,
    };
    for (const other of this.hosts) {
      if (other === host) continue;
      this.setPeerLink(host, other, rule);
      this.setPeerLink(other, host, reversed);
    }
  }

  /** Lets everything pass at once again. */
  resetLinks(): void {
    const links = [...this.peerLinks.values(), ...this.storeLinks.values()];
    for (const link of links) link.clearRule();
  }

  /** Returns every run that the servers recorded, in the order in which they started. */
  readRecords(): readonly RunRecord[] {
    const records = this.hosts.flatMap(host =>
      readRecordFile(host.recordsPath),
    );
    return records.sort((a, b) => a.startedAtMs - b.startedAtMs);
  }

  /** Waits until every running daemon is ready and every service is placed. */
  async waitUntilReady(): Promise<void> {
    await this.waitUntil(async () => {
      const statuses = await Promise.all(
        this.hosts.map(host => this.getStatus(host)),
      );
      return statuses.every(
        status =>
          status.isReady &&
          status.services.every(service => service.ownedSlices > 0),
      );
    });
  }

  /** Polls until a condition holds. */
  async waitUntil(
    condition: () => Promise<boolean>,
    limitMs = READY_TIMEOUT_MS,
  ): Promise<void> {
    const endMs = Date.now() + limitMs;
    for (;;) {
      const isMet = await condition().catch(() => false);
      if (isMet) return;
      if (Date.now() > endMs)
        throw new Error('The condition was not met in time.');
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  /** Returns the last output of every process that has ended by itself. */
  getLastWords(): readonly string[] {
    return [...this.daemons.values(), ...this.servers.values()]
      .filter(process => !process.isRunning())
      .map(
        process =>
          `${process.name}: ${process.getOutput().slice(-LAST_WORDS_LENGTH)}`,
      );
  }

  /** Ends every process. */
  async stop(): Promise<void> {
    const all = [...this.daemons.values(), ...this.servers.values()];
    await Promise.all(all.map(process => process.kill()));
    await this.store?.kill();
    const links = [...this.peerLinks.values(), ...this.storeLinks.values()];
    await Promise.all(links.map(link => link.close()));
  }

  private async openLinks(): Promise<void> {
    const storePort = Number(new URL(this.storeUrl).port);
    for (const host of this.hosts) {
      const {name, ip} = host;
      const peer = new Link({ip, port: PEER_LINK_PORT}, {ip, port: PEER_PORT});
      const store = new Link(
        {ip, port: STORE_LINK_PORT},
        {ip: '127.0.0.1', port: storePort},
      );
      await Promise.all([peer.open(), store.open()]);
      this.peerLinks.set(name, peer);
      this.storeLinks.set(name, store);
    }
  }

  private getLink(links: ReadonlyMap<string, Link>, host: FleetHost): Link {
    const link = links.get(host.name);
    if (link === undefined) throw new Error(`${host.name} has no link.`);
    return link;
  }

  private async startStore(): Promise<void> {
    this.store = this.startProcess('store', [STORE_MAIN]);
    await this.store.waitForOutput('listening');
    const port = /listening (\d+)/.exec(this.store.getOutput())?.[1] ?? '0';
    this.storeUrl = `http://127.0.0.1:${port}`;
  }

  private startProcess(name: string, command: readonly string[]): FleetProcess {
    const fileName = `${name.replace(' ', '-')}.log`;
    return new FleetProcess(
      name,
      command,
      join(this.options.directory, fileName),
    );
  }

  private writeSettings(host: FleetHost): void {
    const peers = this.hosts
      .slice(0, 3)
      .map(other => ({ip: other.ip, port: PEER_PORT}));
    const hasLinks = this.options.hasLinks === true;
    const settings = {
      host: host.name,
      dataCentre: host.dataCentre,
      region: this.options.deployment.region,
      callerAddress: {ip: host.ip, port: CALLER_PORT},
      peerAddress: {ip: host.ip, port: PEER_PORT},
      serverAddress: {ip: host.ip, port: SERVER_PORT},
      operatorAddress: {ip: host.ip, port: OPERATOR_PORT},
      storeUrl: hasLinks
        ? `http://${host.ip}:${STORE_LINK_PORT}`
        : this.storeUrl,
      ...(hasLinks
        ? {advertisedPeerAddress: {ip: host.ip, port: PEER_LINK_PORT}}
        : {}),
      peers,
      relayed: this.options.isRelayed ?? true,
      peerKey: TEST_PEER_KEY,
      operatorKey: TEST_OPERATOR_KEY,
      limits: {slotPolicy: this.options.slotPolicy},
    };
    writeFileSync(host.settingsPath, JSON.stringify(settings, undefined, 2));
  }
}

function readRecordFile(path: string): readonly RunRecord[] {
  try {
    return readFileSync(path, 'utf8')
      .split('\n')
      .filter(line => line.endsWith('}'))
      .map(line => JSON.parse(line) as RunRecord);
  } catch {
    return [];
  }
}
