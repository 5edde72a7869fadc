/**
 * One host of the soak test: a daemon that grants keys in heartbeat answers, and a backend server. The simulation
 * kills, stops, freezes and restarts both.
 */
import type {KeyGrant} from '@dottereldrift/daemon/heartbeat_grants.js';
import type {ServerHeartbeat} from '@dottereldrift/daemon/server_types.js';
import {type Settings, settingsSchema} from '@dottereldrift/daemon/settings.js';
import type {LogFields} from '@dottereldrift/core/log.js';
import {CallBudget} from '@dottereldrift/store/call_budget.js';

import type {VirtualClock} from '../virtual_clock.js';
import {
  type PeerFinder,
  VirtualChannel,
  VirtualDaemon,
  VirtualForwarder,
  VirtualPeerClients,
} from '../virtual_daemon.js';
import {TraceLog} from '../virtual_host.js';
import {
  CallError,
  type Endpoint,
  type VirtualNetwork,
} from '../virtual_network.js';
import {VirtualServerPool} from '../virtual_server.js';
import {type SharedStore, VirtualStore} from '../virtual_store.js';
import {HeartbeatServer} from './heartbeat_server.js';
import type {OwnershipChecker} from './ownership_checker.js';
import {type ClockOffsets, SoakProcess} from './soak_process.js';

/** Dependencies that all hosts share. */
export interface SoakEnvironment {
  readonly clock: VirtualClock;
  readonly network: VirtualNetwork;
  readonly store: SharedStore;
  readonly ownershipChecker: OwnershipChecker;
  readonly findPeer: PeerFinder;
  readonly onLog: (host: string, message: string, fields: LogFields) => void;
  /** Called with each daemon before it starts. */
  readonly onDaemon: (daemon: VirtualDaemon) => void;
}

/** Service whose keys are distributed over the servers of its hosts. */
export const SOAK_SERVICE = 'menu';
/** Service without keys; its hosts take part as witnesses, relays and coordinators. */
export const UNKEYED_SERVICE = 'orders';

const REGION = 'region-1';
const PORTS = {caller: 7101, peer: 7102, server: 7103, operator: 7104};
const SERVER_PORT = 7110;
const HEARTBEAT_TIMEOUT_MS = 1_000;
const TEST_KEY = 'test-key-0123456789';
/** Share of server restarts that keep the instance identifier. */
const SAME_INSTANCE_SHARE = 0.3;
const LOAD_PACE = {
  decayMs: 1_500,
  settleMs: 500,
  reportMs: 500,
  maxDeviation: 0.2,
  mergeFactor: 2.5,
};

/** A simulated host with its daemon and backend server. */
export class SoakHost {
  daemon: VirtualDaemon;
  server: HeartbeatServer;
  readonly offsets: ClockOffsets = {wallMs: 0, suspendedMs: 0};
  name: string;
  /** Maximum delay of the server's heartbeats in milliseconds; 0 for no delay. */
  heartbeatDelayMs = 0;
  private readonly ip: string;
  private replacementCount = 0;
  private instanceCount = 0;
  private isStopping = false;
  /** Number of overlapping freezes of the daemon. */
  private activeFreezes = 0;
  /** Time since which the host has been suspended; undefined if it is not suspended. */
  private suspendedSinceMs: number | undefined;

  constructor(
    private readonly index: number,
    private readonly dataCentres: number,
    private readonly environment: SoakEnvironment,
    private readonly service = SOAK_SERVICE,
  ) {
    this.name = `${service}-${index + 1}`;
    this.ip = `10.0.0.${index + 1}`;
    this.server = this.createServer();
    this.daemon = this.createDaemon();
  }

  start(): void {
    this.startDaemon();
    this.server.start();
  }

  /** Starts a new daemon process if none is running. */
  restartDaemon(): void {
    if (this.daemon.endpoint.process.isRunning() || this.isStopping) return;
    this.daemon = this.createDaemon();
    this.startDaemon();
  }

  /** Starts a new server incarnation if none is running. */
  restartServer(): void {
    if (this.server.isRunning()) return;
    this.server = this.createServer();
    this.server.start();
  }

  /** Gives the host a new name, so that its next processes start as a replacement host at the same address. */
  setReplacementName(): void {
    this.replacementCount += 1;
    this.name = `${this.service}-${this.index + 1}-${this.replacementCount}`;
  }

  /** Shuts the daemon down gracefully and kills it if it has not ended after `graceMs`. */
  async stopDaemon(graceMs: number): Promise<void> {
    const {clock} = this.environment;
    const {daemon} = this;
    const {process} = daemon.endpoint;
    if (!process.isRunning() || this.isStopping) return;
    this.isStopping = true;
    await Promise.race([
      daemon.stop(),
      new Promise<void>(resolve => clock.startTimer(graceMs, resolve)),
      new Promise<void>(resolve => process.watchEnd(resolve)),
    ]);
    this.isStopping = false;
    process.kill();
  }

  /**
   * Freezes the daemon until the returned function is called. If the host is suspended, its monotonic clock does not
   * advance meanwhile.
   */
  freezeDaemon(isSuspended: boolean): () => void {
    this.activeFreezes += 1;
    if (isSuspended) this.suspendedSinceMs ??= this.getElapsedMs();
    this.daemon.endpoint.process.freeze();
    return () => {
      this.activeFreezes -= 1;
      if (this.activeFreezes === 0) this.continueDaemon();
    };
  }

  private continueDaemon(): void {
    if (this.suspendedSinceMs !== undefined) {
      const suspendedMs = this.getElapsedMs() - this.suspendedSinceMs;
      this.offsets.suspendedMs += suspendedMs;
      this.suspendedSinceMs = undefined;
    }
    this.daemon.endpoint.process.continue();
  }

  private getElapsedMs(): number {
    return this.environment.clock.getElapsedMs();
  }

  private startDaemon(): void {
    this.environment.onDaemon(this.daemon);
    void this.daemon.start();
  }

  private createDaemon(): VirtualDaemon {
    const {clock, network, store, findPeer} = this.environment;
    const {name} = this;
    const process = new SoakProcess(name, clock, this.offsets);
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

  private createServer(): HeartbeatServer {
    const {clock, network, ownershipChecker} = this.environment;
    const name = `${this.name}/server`;
    const {offsets} = this;
    // Suspension stops the monotonic clock of the daemon only, not that of the server.
    const serverOffsets: Readonly<ClockOffsets> = {
      suspendedMs: 0,
      get wallMs() {
        return offsets.wallMs;
      },
    };
    const endpoint = {
      name,
      process: new SoakProcess(name, clock, serverOffsets),
    };
    const {service} = this;
    const isSameInstance =
      this.instanceCount > 0 && clock.getRandom() < SAME_INSTANCE_SHARE;
    if (!isSameInstance) this.instanceCount += 1;
    return new HeartbeatServer({
      endpoint,
      service,
      address: {ip: this.ip, port: SERVER_PORT},
      instanceId: `i-${this.index + 1}-${this.instanceCount}`,
      ownershipChecker,
      callDaemon: heartbeat => this.callDaemon(endpoint, heartbeat),
      announceEnd: instanceId => {
        const {daemon} = this;
        network.send(name, daemon.endpoint, () => {
          daemon.receiveLeave(instanceId);
        });
      },
    });
  }

  private callDaemon(
    from: Endpoint,
    heartbeat: ServerHeartbeat,
  ): Promise<KeyGrant | 'stale' | undefined> {
    if (this.heartbeatDelayMs > 0) return this.sendDelayed(from, heartbeat);
    const {daemon} = this;
    return this.environment.network.call(
      from,
      daemon.endpoint,
      HEARTBEAT_TIMEOUT_MS,
      () => daemon.answerHeartbeat(heartbeat),
    );
  }

  /**
   * Delivers a heartbeat after a delay to the daemon that runs then. The sender sees a timeout, as if the answer were
   * lost.
   */
  private sendDelayed(
    from: Endpoint,
    heartbeat: ServerHeartbeat,
  ): Promise<never> {
    const {clock, network} = this.environment;
    clock.startTimer(this.heartbeatDelayMs * clock.getRandom(), () => {
      const {daemon} = this;
      network.send(from.name, daemon.endpoint, () => {
        void daemon.answerHeartbeat(heartbeat);
      });
    });
    return new Promise((_resolve, reject) => {
      from.process.startTimer(HEARTBEAT_TIMEOUT_MS, () => {
        reject(new CallError('timeout'));
      });
    });
  }

  private createSettings(): Settings {
    const {name, ip} = this;
    return settingsSchema.parse({
      host: name,
      dataCentre: `dc${(this.index % this.dataCentres) + 1}`,
      region: REGION,
      callerAddress: {ip, port: PORTS.caller},
      peerAddress: {ip, port: PORTS.peer},
      serverAddress: {ip, port: PORTS.server},
      operatorAddress: {ip, port: PORTS.operator},
      storeUrl: 'http://127.0.0.1:1',
      peerKey: TEST_KEY,
      operatorKey: TEST_KEY,
      grants: 'answered',
      leavingAdmissionMs: 1_500,
      maxGrantBytes: 4_000,
      loadPace: LOAD_PACE,
    });
  }
}
