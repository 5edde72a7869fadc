/**
 * One host of a virtual deployment: its daemon and its backend server, each in a separate process.
 */
import type {Log, LogFields} from '@dottereldrift/core/log.js';
import {settingsSchema, type Settings} from '@dottereldrift/daemon/settings.js';
import type {ServerInfo} from '@dottereldrift/membership/types.js';
import type {RunRecord} from '@dottereldrift/standins/backend_server.js';
import {CallBudget} from '@dottereldrift/store/call_budget.js';

import {type VirtualClock, VirtualProcess} from './virtual_clock.js';
import {
  type PeerFinder,
  VirtualChannel,
  VirtualDaemon,
  VirtualForwarder,
  VirtualPeerClients,
} from './virtual_daemon.js';
import type {VirtualNetwork} from './virtual_network.js';
import {VirtualServer, VirtualServerPool} from './virtual_server.js';
import {type SharedStore, VirtualStore} from './virtual_store.js';

/** Dependencies that all hosts share. */
export interface HostEnvironment {
  readonly clock: VirtualClock;
  readonly network: VirtualNetwork;
  readonly store: SharedStore;
  readonly service: string;
  readonly findPeer: PeerFinder;
  readonly isFencing: boolean;
  readonly onRun: (record: RunRecord) => void;
  readonly onLog: (host: string, message: string, fields: LogFields) => void;
  readonly onDaemon: (daemon: VirtualDaemon) => void;
}

/** Name and location of a host. */
export interface HostIdentity {
  readonly name: string;
  readonly ip: string;
  readonly dataCentre: string;
}

const REGION = 'region-1';
const SLOTS = 6;
const CONNECTIONS = 120;
const PORTS = {caller: 7101, peer: 7102, server: 7103, operator: 7104};
const SERVER_PORT = 7110;
const TEST_KEY = 'test-key-0123456789';

/** A simulated host with its daemon and backend server. */
export class VirtualHost {
  daemon: VirtualDaemon;
  server: VirtualServer;

  constructor(
    readonly identity: HostIdentity,
    private readonly environment: HostEnvironment,
  ) {
    this.server = this.createServer();
    this.daemon = this.createDaemon();
  }

  get name(): string {
    return this.identity.name;
  }

  /** Starts both processes. */
  start(): void {
    this.startDaemon();
    this.server.start();
  }

  /** Starts new processes in place of those that have ended. */
  restart(): void {
    if (!this.daemon.endpoint.process.isRunning()) {
      this.daemon = this.createDaemon();
      this.startDaemon();
    }
    if (!this.server.endpoint.process.isRunning()) {
      this.server = this.createServer();
      this.server.start();
    }
  }

  private startDaemon(): void {
    this.environment.onDaemon(this.daemon);
    void this.daemon.start();
  }

  private createDaemon(): VirtualDaemon {
    const {clock, network, store, findPeer} = this.environment;
    const {name} = this.identity;
    const process = new VirtualProcess(name, clock);
    const endpoint = {name, process};
    const settings = this.createSettings();
    const budget = new CallBudget(
      process,
      settings.limits.storeCallsPerSecond,
      settings.limits.storeCallsBurst,
    );
    const address = settings.peerAddress;
    const channel = new VirtualChannel(endpoint, address, network, findPeer);
    const edges = {
      store: new VirtualStore(endpoint, network, store, budget),
      channel,
      peers: new VirtualPeerClients(endpoint, network, findPeer),
      forwarder: new VirtualForwarder(endpoint, network, findPeer),
      createServerPool: () =>
        new VirtualServerPool(endpoint, network, this.server),
      close: () => Promise.resolve(),
    };
    const log = new TraceLog((message, fields) => {
      this.environment.onLog(name, message, fields);
    });
    const daemon = new VirtualDaemon(endpoint, settings, process, edges, log);
    daemon.receive = (datagram, from) => {
      channel.handler(datagram, from);
    };
    return daemon;
  }

  private createServer(): VirtualServer {
    const {clock, network, service, isFencing, onRun} = this.environment;
    const {name, ip} = this.identity;
    const endpointName = `${name}/server`;
    const endpoint = {
      name: endpointName,
      process: new VirtualProcess(endpointName, clock),
    };
    const info: ServerInfo = {
      service,
      address: {ip, port: SERVER_PORT},
      slots: SLOTS,
      connections: CONNECTIONS,
      isLeaving: false,
    };
    const announce = (announced: ServerInfo | undefined) => {
      const {daemon} = this;
      network.send(endpointName, daemon.endpoint, () => {
        daemon.receiveServerAnnouncement(service, announced);
      });
    };
    return new VirtualServer({
      endpoint,
      host: name,
      info,
      isFencing,
      onRun,
      announce,
    });
  }

  private createSettings(): Settings {
    const {name, ip, dataCentre} = this.identity;
    return settingsSchema.parse({
      host: name,
      dataCentre,
      region: REGION,
      callerAddress: {ip, port: PORTS.caller},
      peerAddress: {ip, port: PORTS.peer},
      serverAddress: {ip, port: PORTS.server},
      operatorAddress: {ip, port: PORTS.operator},
      storeUrl: 'http://127.0.0.1:1',
      peerKey: TEST_KEY,
      operatorKey: TEST_KEY,
    });
  }
}

/** A log that passes its messages to a callback and drops debug messages. */
export class TraceLog implements Log {
  constructor(
    private readonly onMessage: (message: string, fields: LogFields) => void,
  ) {}

  writeDebug(): void {}

  writeInfo(message: string, fields: LogFields = {}): void {
    this.onMessage(message, fields);
  }

  writeWarning(message: string, fields: LogFields = {}): void {
    this.onMessage(message, fields);
  }

  writeError(message: string, fields: LogFields = {}): void {
    this.onMessage(message, fields);
  }

  createChild(): Log {
    return this;
  }
}
