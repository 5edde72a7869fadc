/**
 * Runs a complete deployment as separate processes on loopback: one store, and a backend server and a
 * daemon for each host. Every host has its own loopback IP address.
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

/** A host of the fleet, with its addresses, files and server options. */
export interface FleetHost {
  readonly name: string;
  readonly ip: string;
  readonly dataCentre: string;
  readonly service: string;
  readonly settingsPath: string;
  readonly recordsPath: string;
  readonly serverOptions: BackendServerOptions;
}

/** Options for running a deployment as a fleet. */
export interface FleetOptions {
  readonly deployment: Deployment;
  /** Directory for settings files, run records and process logs. */
  readonly directory: string;
  readonly stragglerShare: number;
  /** Whether the servers check fencing tokens; defaults to true. */
  readonly isFencing?: boolean;
  /** Whether traffic to each daemon's peer port and from each daemon to the store passes through a link. */
  readonly hasLinks?: boolean;
  /** Server program, run with service, IP address, port and daemon URL; the simulated server by default. */
  readonly serverMain?: string;
  /** Daemon program, run with the product's command line; defaults to the product. */
  readonly daemonMain?: string;
  /** Slot policy of the daemons; defaults to that of the settings. */
  readonly slotPolicy?: SlotPolicyName;
  /** Whether daemons follow relays instead of the store; defaults to true. */
  readonly isRelayed?: boolean;
}

const CALLER_PORT = 7101;
const PEER_PORT = 7102;
const OPERATOR_PORT = 7104;
const PEER_LINK_PORT = 7202;
const STORE_LINK_PORT = 7205;
const READY_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 50;
const MAX_EXITED_OUTPUT_CHARS = 1_000;

/** Shared key that the daemons of a test fleet authenticate to each other with. */
export const TEST_PEER_KEY = 'test-peer-key-0123456789';
/** Key that operators authenticate with to the daemons of a test fleet. */
export const TEST_OPERATOR_KEY = 'test-operator-key-0123456789';

const REPOSITORY_ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const BUNDLE = join(REPOSITORY_ROOT, 'dist/dottereldrift.cjs');
const STORE_MAIN = join(
  REPOSITORY_ROOT,
  'packages/standins/dist/src/store_main.js',
);
const BACKEND_MAIN = join(
  REPOSITORY_ROOT,
  'packages/standins/dist/src/backend_main.js',
);

/** The processes and links of a running deployment. */
export class Fleet {
  readonly hosts: readonly FleetHost[];
  private store: FleetProcess | undefined;
  private storeUrl = '';
  private readonly daemons = new Map<string, FleetProcess>();
  private readonly servers = new Map<string, FleetProcess>();
  /** For each host, the link in front of its daemon's peer port. */
  private readonly peerLinks = new Map<string, Link>();
  /** For each host, the link between its daemon and the store. */
  private readonly storeLinks = new Map<string, Link>();

  constructor(private readonly options: FleetOptions) {
    mkdirSync(options.directory, {recursive: true});
    this.hosts = createHosts(options);
  }

  /** Starts all processes, submits the manifest and waits until the fleet is ready. */
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
    if (host === undefined) throw new Error(`The fleet has no host ${name}.`);
    return host;
  }

  getDaemon(host: FleetHost): FleetProcess {
    const daemon = this.daemons.get(host.name);
    if (daemon === undefined)
      throw new Error(`No daemon was started on ${host.name}.`);
    return daemon;
  }

  getServer(host: FleetHost): FleetProcess {
    const server = this.servers.get(host.name);
    if (server === undefined)
      throw new Error(`No server was started on ${host.name}.`);
    return server;
  }

  /** Returns the base URL at which a host's daemon serves callers. */
  getCallerUrl(host: FleetHost): string {
    return `http://${host.ip}:${CALLER_PORT}`;
  }

  /** Sends a request to a daemon's operator API. */
  async callOperator(
    host: FleetHost,
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<{readonly status: number; readonly value: unknown}> {
    const response = await request(
      `http://${host.ip}:${OPERATOR_PORT}${path}`,
      {
        method,
        headers: {
          authorization: `Bearer ${TEST_OPERATOR_KEY}`,
          ...(body === undefined ? {} : {'content-type': 'application/json'}),
        },
        body: body === undefined ? null : JSON.stringify(body),
      },
    );
    const text = await response.body.text();
    return {
      status: response.statusCode,
      value: text === '' ? undefined : JSON.parse(text),
    };
  }

  async getStatus(host: FleetHost): Promise<DaemonStatus> {
    const response = await this.callOperator(host, 'GET', '/status');
    return response.value as DaemonStatus;
  }

  async submitManifest(manifest: unknown): Promise<void> {
    const host = this.hosts[0];
    if (host === undefined) return;
    const text = JSON.stringify(manifest);
    const response = await this.callOperator(host, 'PUT', '/manifest', {text});
    if (response.status >= 300) throw new Error(JSON.stringify(response.value));
  }

  async setStoreFaults(faults: Partial<StoreFaults>): Promise<void> {
    const response = await request(`${this.storeUrl}/faults`, {
      method: 'PUT',
      body: JSON.stringify(faults),
    });
    await response.body.dump();
  }

  async getStoreCounts(): Promise<StoreCounts> {
    const response = await request(`${this.storeUrl}/counts`);
    return (await response.body.json()) as StoreCounts;
  }

  /** Returns the objects whose keys begin with a prefix, read directly from the store, by key. */
  async readStoreObjects(
    prefix: string,
  ): Promise<ReadonlyMap<string, Uint8Array>> {
    const response = await request(`${this.storeUrl}/objects?prefix=${prefix}`);
    const body = (await response.body.json()) as {
      readonly objects: ReadonlyArray<{
        readonly key: string;
        readonly value: string;
      }>;
    };
    return new Map(
      body.objects.map(({key, value}) => [key, Buffer.from(value, 'base64')]),
    );
  }

  /** Sets the rule of the link between a host's daemon and the store. */
  setStoreLink(host: FleetHost, rule: Partial<LinkRule>): void {
    this.getLink(this.storeLinks, host).setRule({...UNIMPAIRED_LINK, ...rule});
  }

  /** Sets the rule for requests from one daemon to another and for the responses to them. */
  setPeerLink(from: FleetHost, to: FleetHost, rule: Partial<LinkRule>): void {
    const link = this.getLink(this.peerLinks, to);
    link.setRule({...UNIMPAIRED_LINK, ...rule}, from.ip);
  }

  /** Sets the rules between a host's daemon and all others, with directions as seen from the host. */
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

  /** Clears the rules of all links, so that traffic passes without delay or loss. */
  resetLinks(): void {
    const links = [...this.peerLinks.values(), ...this.storeLinks.values()];
    for (const link of links) link.clearRule();
  }

  /** Returns all runs that the servers recorded, ordered by start time. */
  readRecords(): readonly RunRecord[] {
    const records = this.hosts.flatMap(host =>
      readRecordFile(host.recordsPath),
    );
    return records.sort((a, b) => a.startedAtMs - b.startedAtMs);
  }

  /** Waits until every daemon is ready and owns slices of every service in its status. */
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

  /** Polls until a condition holds; a rejected promise counts as false. */
  async waitUntil(
    condition: () => Promise<boolean>,
    limitMs = READY_TIMEOUT_MS,
  ): Promise<void> {
    const endMs = Date.now() + limitMs;
    for (;;) {
      const isMet = await condition().catch(() => false);
      if (isMet) return;
      if (Date.now() > endMs)
        throw new Error('Timed out waiting for a condition.');
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  /** Returns the end of the output of every daemon and server that is no longer running. */
  getExitedOutputs(): readonly string[] {
    return [...this.daemons.values(), ...this.servers.values()]
      .filter(process => !process.isRunning())
      .map(
        process =>
          `${process.name}: ${process.getOutput().slice(-MAX_EXITED_OUTPUT_CHARS)}`,
      );
  }

  /** Kills all processes and closes all links. */
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
    if (link === undefined) throw new Error(`${host.name} has no open link.`);
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
