/**
 * One host of the soak: a daemon that grants keys in answers to heartbeats, and the backend server beside it.
 * Both are killed, stopped, frozen and started again from outside.
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
  type Place,
  type VirtualNetwork,
} from '../virtual_network.js';
import {VirtualServerPool} from '../virtual_server.js';
import {type SharedStore, VirtualStore} from '../virtual_store.js';
import {HeartbeatServer} from './heartbeat_server.js';
import type {OwnershipJudge} from './ownership_judge.js';
import {type ClockOffsets, SoakProcess} from './soak_process.js';

/** What all hosts share. */
export interface SoakSurroundings {
  readonly clock: VirtualClock;
  readonly network: VirtualNetwork;
  readonly store: SharedStore;
  readonly judge: OwnershipJudge;
  readonly findPeer: PeerFinder;
  readonly onLog: (host: string, sentence: string, fields: LogFields) => void;
  /** Called with every daemon before it starts. */
  readonly onDaemon: (daemon: VirtualDaemon) => void;
}

/** Service whose keys the servers of all hosts own. */
export const SOAK_SERVICE = 'menu';
/** Service without keys, whose hosts take part as witnesses, relays and coordinators. */
export const PLAIN_SERVICE = 'orders';

const REGION = 'region-1';
const PORTS = {caller: 7101, peer: 7102, server: 7103, operator: 7104};
const SERVER_PORT = 7110;
const HEARTBEAT_LIMIT_MS = 1_000;
const TEST_KEY = 'test-key-0123456789';
/** Part of the starts of a server under the identifier that it had. */
const SAME_INSTANCE_SHARE = 0.3;
const LOAD_PACE = {
  decayMs: 1_500,
  settleMs: 500,
  reportMs: 500,
  maxDeviation: 0.2,
  mergeFactor: 2.5,
};

/** A host. */
export class SoakHost {
  daemon: VirtualDaemon;
  server: HeartbeatServer;
  readonly offsets: ClockOffsets = {wallMs: 0, suspendedMs: 0};
  name: string;
  /** Longest time for which heartbeats of the server are on their way, in milliseconds; 0 where none is held up. */
  heartbeatDelayMs = 0;
  private readonly ip: string;
  private replacements = 0;
  private instances = 0;
  private isStopping = false;
  /** Freezes of the daemon that have not ended, and since when the first of them suspends the host. */
  private freezes = 0;
  private suspendedSinceMs: number | undefined;

  constructor(
    private readonly index: number,
    private readonly dataCentres: number,
    private readonly surroundings: SoakSurroundings,
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

  /** Starts the daemon anew if it does not run. */
  restartDaemon(): void {
    if (this.daemon.place.process.isRunning() || this.isStopping) return;
    this.daemon = this.createDaemon();
    this.startDaemon();
  }

  /** Starts the server anew if it does not run. */
  restartServer(): void {
    if (this.server.isRunning()) return;
    this.server = this.createServer();
    this.server.start();
  }

  /** Has another host start at the address of this one, which is off for good. */
  renewHost(): void {
    this.replacements += 1;
    this.name = `${this.service}-${this.index + 1}-${this.replacements}`;
  }

  /** Stops the daemon by a signal; it is killed if it has not ended in time. */
  async stopDaemon(graceMs: number): Promise<void> {
    const {clock} = this.surroundings;
    const {daemon} = this;
    const {process} = daemon.place;
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

  /** Freezes the daemon; a suspended host's steady clock stands still meanwhile. The function returned ends it. */
  freezeDaemon(isSuspended: boolean): () => void {
    this.freezes += 1;
    if (isSuspended) this.suspendedSinceMs ??= this.getElapsedMs();
    this.daemon.place.process.freeze();
    return () => {
      this.freezes -= 1;
      if (this.freezes === 0) this.continueDaemon();
    };
  }

  private continueDaemon(): void {
    if (this.suspendedSinceMs !== undefined) {
      const suspendedMs = this.getElapsedMs() - this.suspendedSinceMs;
      this.offsets.suspendedMs += suspendedMs;
      this.suspendedSinceMs = undefined;
    }
    this.daemon.place.process.continue();
  }

  private getElapsedMs(): number {
    return this.surroundings.clock.getElapsedMs();
  }

  private startDaemon(): void {
    this.surroundings.onDaemon(this.daemon);
    void this.daemon.start();
  }

  private createDaemon(): VirtualDaemon {
    const {clock, network, store, findPeer} = this.surroundings;
    const {name} = this;
    const process = new SoakProcess(name, clock, this.offsets);
    const place = {name, process};
    const settings = this.createSettings();
    const budget = new CallBudget(
      process,
      settings.limits.storeCallsPerSecond,
      settings.limits.storeCallsBurst,
    );
    const address = settings.peerAddress;
    const channel = new VirtualChannel(place, address, network, findPeer);
    const edges = {
      store: new VirtualStore(place, network, store, budget),
      channel,
      peers: new VirtualPeerClients(place, network, findPeer),
      forwarder: new VirtualForwarder(place, network, findPeer),
      createServerPool: () =>
        new VirtualServerPool(place, network, this.server),
      close: () => Promise.resolve(),
    };
    const log = new TraceLog((sentence, fields) => {
      this.surroundings.onLog(name, sentence, fields);
    });
    const daemon = new VirtualDaemon(place, settings, process, edges, log);
    daemon.receive = (datagram, from) => {
      channel.handler(datagram, from);
    };
    return daemon;
  }

  private createServer(): HeartbeatServer {
    const {clock, network, judge} = this.surroundings;
    const name = `${this.name}/server`;
    const {offsets} = this;
    // The steady clock of the server does not stand still with that of its daemon.
    const serverOffsets: Readonly<ClockOffsets> = {
      suspendedMs: 0,
      get wallMs() {
        return offsets.wallMs;
      },
    };
    const place = {name, process: new SoakProcess(name, clock, serverOffsets)};
    const {service} = this;
    const isSame =
      this.instances > 0 && clock.getRandom() < SAME_INSTANCE_SHARE;
    if (!isSame) this.instances += 1;
    return new HeartbeatServer({
      place,
      service,
      address: {ip: this.ip, port: SERVER_PORT},
      instanceId: `i-${this.index + 1}-${this.instances}`,
      judge,
      callDaemon: heartbeat => this.callDaemon(place, heartbeat),
      tellEnd: instanceId => {
        const {daemon} = this;
        network.send(name, daemon.place, () => {
          daemon.receiveLeave(instanceId);
        });
      },
    });
  }

  private callDaemon(
    from: Place,
    heartbeat: ServerHeartbeat,
  ): Promise<KeyGrant | 'stale' | undefined> {
    if (this.heartbeatDelayMs > 0) return this.sendLate(from, heartbeat);
    const {daemon} = this;
    return this.surroundings.network.call(
      from,
      daemon.place,
      HEARTBEAT_LIMIT_MS,
      () => daemon.answerHeartbeat(heartbeat),
    );
  }

  /** Has a heartbeat arrive late, whatever runs then; its sender takes the answer for lost. */
  private sendLate(from: Place, heartbeat: ServerHeartbeat): Promise<never> {
    const {clock, network} = this.surroundings;
    clock.startTimer(this.heartbeatDelayMs * clock.getRandom(), () => {
      const {daemon} = this;
      network.send(from.name, daemon.place, () => {
        void daemon.answerHeartbeat(heartbeat);
      });
    });
    return new Promise((_resolve, reject) => {
      from.process.startTimer(HEARTBEAT_LIMIT_MS, () => {
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
