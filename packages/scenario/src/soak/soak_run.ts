/**
 * Runs one seed of the soak test in virtual time and checks exclusive ownership throughout. The daemons are real;
 * the network, the store, the clocks and the backend servers are simulated, with injected faults.
 */
import {chooseCoordinator} from '@dottereldrift/ownership/coordinator_choice.js';
import {RANGE_KEY_COUNT} from '@dottereldrift/ownership/key_range.js';
import {MemoryStore} from '@dottereldrift/store/memory_store.js';

import {VirtualClock, VirtualProcess} from '../virtual_clock.js';
import type {VirtualDaemon} from '../virtual_daemon.js';
import {STORE_ENDPOINT, VirtualNetwork} from '../virtual_network.js';
import type {SharedStore} from '../virtual_store.js';
import {drawFaults, type FaultKind, type PlannedFault} from './fault_plan.js';
import {OwnershipChecker} from './ownership_checker.js';
import {RestorableStore} from './restorable_store.js';
import {UNKEYED_SERVICE, SOAK_SERVICE, SoakHost} from './soak_host.js';
import {SoakTraffic} from './soak_traffic.js';

/** Parameters of a soak run. */
export interface SoakOptions {
  readonly seed: number;
  readonly hosts?: number;
  /** Additional hosts, which run the service without keys. */
  readonly unkeyedHosts?: number;
  readonly durationMs?: number;
  /** Fault kinds to draw from; all kinds if absent. */
  readonly kinds?: readonly FaultKind[] | undefined;
  /** Explicit faults that replace those drawn from the seed. */
  readonly faults?: readonly PlannedFault[];
  /** Called with each daemon before it starts; tests use it to disable one rule at a time. */
  readonly onDaemon?: (daemon: VirtualDaemon) => void;
  /** Whether there are requests, which is the default; without them, no slices are split or moved. */
  readonly hasTraffic?: boolean;
  /** Whether a restored store starts a new era, which is the default; false disables this rule. */
  readonly hasEras?: boolean;
}

/** Result of a soak run. */
export interface SoakResult {
  readonly seed: number;
  readonly violations: readonly string[];
  /** Longest time after the last fault for which a sampled key had no owner, in milliseconds. */
  readonly unavailableMs: number;
  readonly acquisitionCount: number;
  readonly sent: number;
  readonly completed: number;
  readonly trace: readonly string[];
}

const DEFAULT_HOSTS = 6;
const DATA_CENTRES = 3;
const DEFAULT_DURATION_MS = 30_000;
const FIRST_FAULT_MS = 6_000;
const STOP_GRACE_MS = 6_000;
const MIN_RESTART_DELAY_MS = 50;
const RESTART_DELAY_SPREAD_MS = 1_500;
const MAX_LATE_DELAY_MS = 5_000;
const MAX_HEARTBEAT_DELAY_MS = 900;
const MAX_SLOW_DELAY_MS = 900;
const WALL_CLOCK_STEP_MS = 2_000;
const STORE_CUT_SHARE = 0.35;
const MAX_ROLLING_STOP_INTERVAL_MS = 1_500;
const MIN_REPLACEMENT_INTERVAL_MS = 12_000;
/** Limit for the time a key may be unavailable after the last fault: the failover time of a lost host. */
export const MAX_UNAVAILABLE_MS = 5_000;
const RECOVERY_MS = 15_000;
const SAMPLE_INTERVAL_MS = 50;

const SAMPLED_KEYS = 512;

/** Tracks for how long evenly spaced sample keys had no owner. */
class UnavailabilityTracker {
  longestMs = 0;
  private readonly sinceMs = new Map<number, number>();

  observe(nowMs: number, isHeld: (key: number) => boolean): void {
    for (let index = 0; index < SAMPLED_KEYS; index++) {
      const key = Math.floor((index * RANGE_KEY_COUNT) / SAMPLED_KEYS);
      if (isHeld(key)) this.sinceMs.delete(key);
      else if (!this.sinceMs.has(key)) this.sinceMs.set(key, nowMs);
      const sinceMs = this.sinceMs.get(key) ?? nowMs;
      this.longestMs = Math.max(this.longestMs, nowMs - sinceMs);
    }
  }
}

/** Runs the soak test for one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const simulation = new SoakSimulation(options);
  return simulation.run();
}

class SoakSimulation {
  private readonly clock: VirtualClock;
  private readonly network: VirtualNetwork;
  private readonly store: SharedStore;
  private readonly restorableStore: RestorableStore;
  private readonly hosts: readonly SoakHost[];
  private readonly ownershipChecker: OwnershipChecker;
  private readonly traffic: SoakTraffic;
  private readonly trace: string[] = [];
  private isDelayingWrites = false;
  private lastReplacementMs = -Infinity;
  private readonly durationMs: number;

  constructor(private readonly options: SoakOptions) {
    this.durationMs = options.durationMs ?? DEFAULT_DURATION_MS;
    this.clock = new VirtualClock(options.seed);
    this.network = new VirtualNetwork(this.clock);
    this.store = this.createStore();
    this.restorableStore = new RestorableStore(
      this.clock,
      this.store,
      options.hasEras ?? true,
    );
    this.ownershipChecker = new OwnershipChecker(
      () => this.hosts.map(host => host.server),
      () => this.clock.getElapsedMs(),
    );
    const environment = {
      clock: this.clock,
      network: this.network,
      store: this.store,
      ownershipChecker: this.ownershipChecker,
      findPeer: ({ip}: {readonly ip: string}) =>
        this.hosts[Number(ip.split('.')[3]) - 1]?.daemon,
      onLog: (host: string, message: string, fields: object) => {
        this.addTraceLine(`${host}: ${message} ${JSON.stringify(fields)}`);
      },
      onDaemon: (daemon: VirtualDaemon) => {
        this.restorableStore.watchConfiguration(daemon);
        options.onDaemon?.(daemon);
      },
    };
    const {hosts: count = DEFAULT_HOSTS, unkeyedHosts = 0} = options;
    this.hosts = Array.from({length: count + unkeyedHosts}, (_, index) => {
      const service = index < count ? SOAK_SERVICE : UNKEYED_SERVICE;
      return new SoakHost(index, DATA_CENTRES, environment, service);
    });
    const name = 'callers';
    const process = new VirtualProcess(name, this.clock);
    const callers = {name, process};
    this.traffic = new SoakTraffic(
      this.clock,
      this.network,
      callers,
      this.hosts,
    );
  }

  async run(): Promise<SoakResult> {
    const {clock, durationMs} = this;
    await this.restorableStore.writeNextConfiguration();
    for (const host of this.hosts) host.start();
    if (this.options.hasTraffic !== false)
      this.traffic.start(durationMs + RECOVERY_MS);
    const faults = this.listFaults();
    if (faults.some(({kind}) => kind === 'store-restored'))
      this.restorableStore.start(durationMs);
    for (const fault of faults) {
      clock.startTimer(fault.atMs, () => {
        this.applyFault(fault);
      });
    }
    await clock.runUntil(durationMs);
    this.endFaults();
    const unavailability = new UnavailabilityTracker();
    for (let ms = 0; ms < RECOVERY_MS; ms += SAMPLE_INTERVAL_MS) {
      await clock.runUntil(durationMs + ms);
      unavailability.observe(ms, key => this.ownershipChecker.isHeld(key));
    }
    return {
      seed: this.options.seed,
      violations: [
        ...this.ownershipChecker.violations,
        ...this.restorableStore.violations,
        ...this.restorableStore.listMissing(
          this.hosts.map(host => host.daemon),
        ),
      ],
      unavailableMs: unavailability.longestMs,
      acquisitionCount: this.ownershipChecker.acquisitionCount,
      sent: this.traffic.sent,
      completed: this.traffic.completed,
      trace: this.trace,
    };
  }

  private listFaults(): readonly PlannedFault[] {
    const {seed, faults, kinds} = this.options;
    const bounds = {
      hosts: this.hosts.length,
      startMs: FIRST_FAULT_MS,
      endMs: this.durationMs,
      kinds,
    };
    return faults ?? drawFaults(seed, bounds);
  }

  private createStore(): SharedStore {
    const process = new VirtualProcess(STORE_ENDPOINT, this.clock);
    const drawDelay = () =>
      this.isDelayingWrites ? MAX_LATE_DELAY_MS * this.clock.getRandom() : 0;
    return {
      endpoint: {name: STORE_ENDPOINT, process},
      memory: new MemoryStore(this.clock),
      state: {
        isOut: false,
        isLosingAnswers: false,
        get writeDelayMs() {
          return drawDelay();
        },
      },
      outageListeners: new Set(),
      onWriteAcknowledged: () => {},
    };
  }

  private applyFault(fault: PlannedFault): void {
    const {kind, durationMs} = fault;
    const host = this.hosts[fault.host % this.hosts.length];
    if (host === undefined) return;
    this.addTraceLine(
      `-- ${kind} ${host.name} for ${Math.round(durationMs)} ms`,
    );
    const end = this.startFault(fault, host);
    this.clock.startTimer(Math.min(durationMs, this.getRemainingMs()), end);
  }

  private getRemainingMs(): number {
    return Math.max(0, this.durationMs - this.clock.getElapsedMs());
  }

  /** Starts a fault and returns the function that ends it. */
  private startFault(
    {kind, durationMs, stepMs, copyAgeMs}: PlannedFault,
    host: SoakHost,
  ): () => void {
    const noop = () => {};
    switch (kind) {
      case 'daemon-killed':
        this.killDaemon(host);
        return noop;
      case 'daemon-stopped':
        this.stopDaemon(host);
        return noop;
      case 'daemon-frozen':
        return host.freezeDaemon(false);
      case 'host-suspended':
        return host.freezeDaemon(true);
      case 'wall-clock-stepped':
        return this.setClock(host, stepMs);
      case 'server-killed':
        host.server.endpoint.process.kill();
        this.startAfterDelay(() => {
          host.restartServer();
        });
        return noop;
      case 'server-frozen':
        host.server.endpoint.process.freeze();
        return () => {
          host.server.endpoint.process.continue();
        };
      case 'server-leaves':
        host.server.drain(durationMs, this.clock.getRandom() < 0.7);
        return () => {
          this.startAfterDelay(() => {
            host.restartServer();
          });
        };
      case 'host-loses-power':
        this.cutPower(host);
        return noop;
      case 'host-replaced':
        this.endHost(host);
        return noop;
      case 'store-restored':
        return this.restoreStore(copyAgeMs);
      default:
        return this.startHeartbeatFault(kind, host);
    }
  }

  private startHeartbeatFault(kind: FaultKind, host: SoakHost): () => void {
    const server = host.server.endpoint.name;
    switch (kind) {
      case 'heartbeats-delayed':
        host.heartbeatDelayMs = MAX_LATE_DELAY_MS;
        return () => {
          host.heartbeatDelayMs = 0;
        };
      case 'heartbeat-answers-lost':
        this.network.cutPath(host.name, server);
        return () => {
          this.network.reset();
        };
      case 'server-cut-off':
        this.cutBothWays(host.name, server);
        return () => {
          this.network.reset();
        };
      default:
        return this.startSharedFault(kind, host);
    }
  }

  private setClock({name, offsets}: SoakHost, stepMs?: number): () => void {
    const offsetMs =
      stepMs ??
      (this.clock.getRandom() < 0.5 ? WALL_CLOCK_STEP_MS : -WALL_CLOCK_STEP_MS);
    offsets.wallMs += offsetMs;
    this.addTraceLine(
      `-- the wall clock of ${name} is stepped by ${offsetMs} ms`,
    );
    return () => {
      offsets.wallMs -= offsetMs;
    };
  }

  private startSharedFault(kind: FaultKind, host: SoakHost): () => void {
    const {state} = this.store;
    const noop = () => {};
    switch (kind) {
      case 'host-cut-off':
        this.cutHost(host, true, true);
        return () => {
          this.network.reset();
        };
      case 'host-cut-one-way': {
        const isIncoming = this.clock.getRandom() < 0.5;
        this.cutHost(host, isIncoming, !isIncoming);
        return () => {
          this.network.reset();
        };
      }
      case 'store-cut':
        this.cutBothWays(host.name, STORE_ENDPOINT);
        return () => {
          this.network.reset();
        };
      case 'store-refuses-hosts':
        for (const {name} of this.hosts) {
          if (this.clock.getRandom() < STORE_CUT_SHARE)
            this.cutBothWays(name, STORE_ENDPOINT);
        }
        return () => {
          this.network.reset();
        };
      case 'daemons-rolled':
        this.stopDaemonsInTurn();
        return noop;
      case 'coordinator-killed':
        this.killDaemon(this.findCoordinator() ?? host);
        return noop;
      case 'store-out':
        this.startOutage();
        return () => {
          state.isOut = false;
        };
      case 'store-late':
        this.isDelayingWrites = true;
        return () => {
          this.isDelayingWrites = false;
        };
      case 'store-answers-lost':
        state.isLosingAnswers = true;
        return () => {
          state.isLosingAnswers = false;
        };
      case 'store-slow':
        return this.startDelay(STORE_ENDPOINT, MAX_SLOW_DELAY_MS);
      case 'host-slow':
        return this.startDelay(host.name, MAX_SLOW_DELAY_MS);
      case 'heartbeats-late':
        return this.startDelay(
          host.server.endpoint.name,
          MAX_HEARTBEAT_DELAY_MS,
        );
      case 'all-daemons-killed':
        for (const other of this.hosts) this.killDaemon(other);
        return noop;
      case 'all-lose-power':
        for (const other of this.hosts) this.cutPower(other);
        return noop;
      default:
        this.traffic.shiftHotKeys();
        return noop;
    }
  }

  private startOutage(): void {
    const {state, outageListeners} = this.store;
    state.isOut = true;
    for (const end of outageListeners) end();
  }

  /** Starts an outage; the store returns from it to a copy of the given age. */
  private restoreStore(copyAgeMs?: number): () => void {
    const found = this.restorableStore.findCopy(copyAgeMs);
    this.startOutage();
    return () => {
      this.store.state.isOut = false;
      if (found === undefined) return;
      this.restorableStore.restore(found.copy);
      this.addTraceLine(
        `-- the store returns to its state at ${found.atMs / 1_000} s`,
      );
    };
  }

  private startDelay(endpoint: string, maxDelayMs: number): () => void {
    this.network.setDelayMs(endpoint, maxDelayMs * this.clock.getRandom());
    return () => {
      this.network.setDelayMs(endpoint, 0);
    };
  }

  private cutBothWays(one: string, other: string): void {
    this.network.cutPath(one, other);
    this.network.cutPath(other, one);
  }

  private stopDaemon(host: SoakHost): void {
    void host.stopDaemon(STOP_GRACE_MS).then(() => {
      this.startAfterDelay(() => {
        host.restartDaemon();
      });
    });
  }

  /** Stops all daemons one after another at a random interval, as a rolling restart does. */
  private stopDaemonsInTurn(): void {
    const intervalMs = MAX_ROLLING_STOP_INTERVAL_MS * this.clock.getRandom();
    this.hosts.forEach((host, index) => {
      this.clock.startTimer(
        Math.min(index * intervalMs, this.getRemainingMs()),
        () => {
          this.stopDaemon(host);
        },
      );
    });
  }

  /** Returns the coordinator host according to the view of one running daemon. */
  private findCoordinator(): SoakHost | undefined {
    const [observer] = this.hosts.filter(host =>
      host.daemon.endpoint.process.isRunning(),
    );
    const liveSessions = observer?.daemon.getView().getLiveSessions() ?? [];
    const members = liveSessions.map(({member}) => member);
    const chosen = chooseCoordinator(SOAK_SERVICE, members);
    return this.hosts.find(({name}) => name === chosen?.host);
  }

  private killDaemon(host: SoakHost): void {
    host.daemon.endpoint.process.kill();
    this.startAfterDelay(() => {
      host.restartDaemon();
    });
  }

  private cutPower(host: SoakHost): void {
    host.server.endpoint.process.kill();
    this.killDaemon(host);
    this.startAfterDelay(() => {
      host.restartServer();
    });
  }

  /**
   * Shuts a host down permanently and starts a replacement at its address. If the previous replacement is too recent,
   * the same host restarts instead: losing both could remove the majority of a witness set, and then the loss of
   * neither could be proved.
   */
  private endHost(host: SoakHost): void {
    const nowMs = this.clock.getElapsedMs();
    this.cutPower(host);
    if (nowMs - this.lastReplacementMs < MIN_REPLACEMENT_INTERVAL_MS) return;
    this.lastReplacementMs = nowMs;
    host.setReplacementName();
  }

  private startAfterDelay(start: () => void): void {
    const delayMs =
      MIN_RESTART_DELAY_MS + RESTART_DELAY_SPREAD_MS * this.clock.getRandom();
    this.clock.startTimer(delayMs, start);
  }

  private cutHost(
    host: SoakHost,
    isIncoming: boolean,
    isOutgoing: boolean,
  ): void {
    for (const other of [...this.hosts.map(({name}) => name), STORE_ENDPOINT]) {
      if (other === host.name) continue;
      if (isOutgoing) this.network.cutPath(host.name, other);
      if (isIncoming) this.network.cutPath(other, host.name);
    }
  }

  private endFaults(): void {
    this.addTraceLine('-- all faults end');
    this.network.reset();
    this.store.state.isOut = false;
    this.store.state.isLosingAnswers = false;
    this.isDelayingWrites = false;
    for (const host of this.hosts) {
      host.heartbeatDelayMs = 0;
      host.server.endpoint.process.continue();
    }
  }

  private addTraceLine(text: string): void {
    const seconds = this.clock.getElapsedMs() / 1_000;
    this.trace.push(`${seconds.toFixed(3)} ${text}`);
  }
}
