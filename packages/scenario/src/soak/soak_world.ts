/**
 * Plays one seed of the soak in virtual time and judges exclusive ownership while it runs. The daemons are the
 * program's own; network, store, clocks and backend servers are stand-ins that misbehave.
 */
import {ACCEPTED_MANIFEST_KEY} from '@dottereldrift/daemon/store_view.js';
import {chooseCoordinator} from '@dottereldrift/ownership/coordinator_choice.js';
import {RANGE_KEY_COUNT} from '@dottereldrift/ownership/key_range.js';
import {MemoryStore} from '@dottereldrift/store/memory_store.js';

import {VirtualClock, VirtualProcess} from '../virtual_clock.js';
import type {VirtualDaemon} from '../virtual_daemon.js';
import {STORE_PLACE, VirtualNetwork} from '../virtual_network.js';
import type {SharedStore} from '../virtual_store.js';
import {drawFaults, type FaultKind, type PlannedFault} from './fault_plan.js';
import {OwnershipJudge} from './ownership_judge.js';
import {PLAIN_SERVICE, SOAK_SERVICE, SoakHost} from './soak_host.js';
import {PLAIN_RULES, SOAK_RULES, SoakTraffic} from './soak_traffic.js';

/** How a run differs from others. */
export interface SoakOptions {
  readonly seed: number;
  readonly hosts?: number;
  /** Hosts beside them whose service has no keys. */
  readonly plainHosts?: number;
  readonly durationMs?: number;
  /** Kinds of faults that the seed draws from; all when absent. */
  readonly kinds?: readonly FaultKind[] | undefined;
  /** Faults in place of those that the seed draws. */
  readonly faults?: readonly PlannedFault[];
  /** Called with every daemon before it starts; tests break one rule at a time. */
  readonly onDaemon?: (daemon: VirtualDaemon) => void;
}

/** What a run has shown. */
export interface SoakResult {
  readonly seed: number;
  readonly violations: readonly string[];
  /** Longest time for which a key had no server after the last fault, in milliseconds. */
  readonly darkMs: number;
  readonly takenCount: number;
  readonly sent: number;
  readonly completed: number;
  readonly trace: readonly string[];
}

const DEFAULT_HOSTS = 6;
const DATA_CENTRES = 3;
const DEFAULT_DURATION_MS = 30_000;
const START_MS = 6_000;
const GRACE_MS = 6_000;
const RESTART_MS = 50;
const RESTART_SPREAD_MS = 1_500;
const LATE_SPREAD_MS = 5_000;
const HEARTBEAT_DELAY_MS = 900;
const SLOW_DELAY_MS = 900;
const STEP_MS = 2_000;
const REFUSED_SHARE = 0.35;
const MAX_ROLL_GAP_MS = 1_500;
const REPLACED_GAP_MS = 12_000;
/** Longest time that a key may be without a server once no fault strikes any more: that of a host that is lost. */
export const DARK_LIMIT_MS = 5_000;
const QUIET_MS = 15_000;
const DARK_STEP_MS = 50;

const DARK_SAMPLES = 512;

/** Times for which single keys had no server. */
class DarkTimes {
  longestMs = 0;
  private readonly sinceMs = new Map<number, number>();

  observe(nowMs: number, isHeld: (key: number) => boolean): void {
    for (let index = 0; index < DARK_SAMPLES; index++) {
      const key = Math.floor((index * RANGE_KEY_COUNT) / DARK_SAMPLES);
      if (isHeld(key)) this.sinceMs.delete(key);
      else if (!this.sinceMs.has(key)) this.sinceMs.set(key, nowMs);
      const sinceMs = this.sinceMs.get(key) ?? nowMs;
      this.longestMs = Math.max(this.longestMs, nowMs - sinceMs);
    }
  }
}

/** Plays one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const world = new SoakWorld(options);
  return world.run();
}

class SoakWorld {
  private readonly clock: VirtualClock;
  private readonly network: VirtualNetwork;
  private readonly store: SharedStore;
  private readonly hosts: readonly SoakHost[];
  private readonly judge: OwnershipJudge;
  private readonly traffic: SoakTraffic;
  private readonly trace: string[] = [];
  private isLate = false;
  private lastReplacedMs = -Infinity;
  private readonly durationMs: number;

  constructor(private readonly options: SoakOptions) {
    this.durationMs = options.durationMs ?? DEFAULT_DURATION_MS;
    this.clock = new VirtualClock(options.seed);
    this.network = new VirtualNetwork(this.clock);
    this.store = this.createStore();
    this.judge = new OwnershipJudge(
      () => this.hosts.map(host => host.server),
      () => this.clock.getElapsedMs(),
    );
    const surroundings = {
      clock: this.clock,
      network: this.network,
      store: this.store,
      judge: this.judge,
      findPeer: ({ip}: {readonly ip: string}) =>
        this.hosts[Number(ip.split('.')[3]) - 1]?.daemon,
      onLog: (host: string, sentence: string, fields: object) => {
        this.write(`${host}: ${sentence} ${JSON.stringify(fields)}`);
      },
      onDaemon: (daemon: VirtualDaemon) => options.onDaemon?.(daemon),
    };
    const {hosts: count = DEFAULT_HOSTS, plainHosts = 0} = options;
    this.hosts = Array.from({length: count + plainHosts}, (_, index) => {
      const service = index < count ? SOAK_SERVICE : PLAIN_SERVICE;
      return new SoakHost(index, DATA_CENTRES, surroundings, service);
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
    await this.writeManifest();
    for (const host of this.hosts) host.start();
    this.traffic.start(durationMs + QUIET_MS);
    for (const fault of this.listFaults()) {
      clock.startTimer(fault.atMs, () => {
        this.applyFault(fault);
      });
    }
    await clock.runUntil(durationMs);
    this.endFaults();
    const dark = new DarkTimes();
    for (let ms = 0; ms < QUIET_MS; ms += DARK_STEP_MS) {
      await clock.runUntil(durationMs + ms);
      dark.observe(ms, key => this.judge.isHeld(key));
    }
    return {
      seed: this.options.seed,
      violations: this.judge.violations,
      darkMs: dark.longestMs,
      takenCount: this.judge.takenCount,
      sent: this.traffic.sent,
      completed: this.traffic.completed,
      trace: this.trace,
    };
  }

  private listFaults(): readonly PlannedFault[] {
    const {seed, faults, kinds} = this.options;
    const bounds = {
      hosts: this.hosts.length,
      startMs: START_MS,
      endMs: this.durationMs,
      kinds,
    };
    return faults ?? drawFaults(seed, bounds);
  }

  private createStore(): SharedStore {
    const process = new VirtualProcess(STORE_PLACE, this.clock);
    const drawDelay = () =>
      this.isLate ? LATE_SPREAD_MS * this.clock.getRandom() : 0;
    return {
      place: {name: STORE_PLACE, process},
      memory: new MemoryStore(this.clock),
      state: {
        isOut: false,
        isLosingAnswers: false,
        get writeDelayMs() {
          return drawDelay();
        },
      },
      outageListeners: new Set(),
      onAcknowledged: () => {},
    };
  }

  private async writeManifest(): Promise<void> {
    const services = {[SOAK_SERVICE]: SOAK_RULES, [PLAIN_SERVICE]: PLAIN_RULES};
    const manifest = {services};
    const accepted = {generation: 1, sourceVersion: 1, manifest};
    const value = Buffer.from(JSON.stringify(accepted));
    await this.store.memory.updateObject(ACCEPTED_MANIFEST_KEY, 0, value)();
  }

  private applyFault(fault: PlannedFault): void {
    const {kind, forMs} = fault;
    const host = this.hosts[fault.host % this.hosts.length];
    if (host === undefined) return;
    this.write(`-- ${kind} ${host.name} for ${Math.round(forMs)} ms`);
    const end = this.startFault(fault, host);
    this.clock.startTimer(Math.min(forMs, this.getRestMs()), end);
  }

  private getRestMs(): number {
    return Math.max(0, this.durationMs - this.clock.getElapsedMs());
  }

  /** Starts a fault; the returned function ends it. */
  private startFault(
    {kind, forMs, stepMs}: PlannedFault,
    host: SoakHost,
  ): () => void {
    const nothing = () => {};
    switch (kind) {
      case 'daemon-killed':
        this.killDaemon(host);
        return nothing;
      case 'daemon-stopped':
        this.stopDaemon(host);
        return nothing;
      case 'daemon-frozen':
        return host.freezeDaemon(false);
      case 'host-suspended':
        return host.freezeDaemon(true);
      case 'wall-clock-stepped':
        return this.setClock(host, stepMs);
      case 'server-killed':
        host.server.place.process.kill();
        this.startLater(() => {
          host.restartServer();
        });
        return nothing;
      case 'server-frozen':
        host.server.place.process.freeze();
        return () => {
          host.server.place.process.continue();
        };
      case 'server-leaves':
        host.server.drain(forMs, this.clock.getRandom() < 0.7);
        return () => {
          this.startLater(() => {
            host.restartServer();
          });
        };
      case 'host-loses-power':
        this.cutPower(host);
        return nothing;
      case 'host-replaced':
        this.endHost(host);
        return nothing;
      default:
        return this.startHeartbeatFault(kind, host);
    }
  }

  private startHeartbeatFault(kind: FaultKind, host: SoakHost): () => void {
    const server = host.server.place.name;
    switch (kind) {
      case 'heartbeats-delayed':
        host.heartbeatDelayMs = LATE_SPREAD_MS;
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
    const byMs = stepMs ?? (this.clock.getRandom() < 0.5 ? STEP_MS : -STEP_MS);
    offsets.wallMs += byMs;
    this.write(`-- the clock of ${name} is set by ${byMs} ms`);
    return () => {
      offsets.wallMs -= byMs;
    };
  }

  private startSharedFault(kind: FaultKind, host: SoakHost): () => void {
    const {state, outageListeners} = this.store;
    const nothing = () => {};
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
        this.cutBothWays(host.name, STORE_PLACE);
        return () => {
          this.network.reset();
        };
      case 'store-refuses-hosts':
        for (const {name} of this.hosts) {
          if (this.clock.getRandom() < REFUSED_SHARE)
            this.cutBothWays(name, STORE_PLACE);
        }
        return () => {
          this.network.reset();
        };
      case 'daemons-rolled':
        this.stopInTurn();
        return nothing;
      case 'coordinator-killed':
        this.killDaemon(this.findCoordinator() ?? host);
        return nothing;
      case 'store-out':
        state.isOut = true;
        for (const end of outageListeners) end();
        return () => {
          state.isOut = false;
        };
      case 'store-late':
        this.isLate = true;
        return () => {
          this.isLate = false;
        };
      case 'store-answers-lost':
        state.isLosingAnswers = true;
        return () => {
          state.isLosingAnswers = false;
        };
      case 'store-slow':
        return this.startDelay(STORE_PLACE, SLOW_DELAY_MS);
      case 'host-slow':
        return this.startDelay(host.name, SLOW_DELAY_MS);
      case 'heartbeats-late':
        return this.startDelay(host.server.place.name, HEARTBEAT_DELAY_MS);
      case 'all-daemons-killed':
        for (const other of this.hosts) this.killDaemon(other);
        return nothing;
      case 'all-lose-power':
        for (const other of this.hosts) this.cutPower(other);
        return nothing;
      default:
        this.traffic.shiftHotKeys();
        return nothing;
    }
  }

  private startDelay(place: string, maxDelayMs: number): () => void {
    this.network.setDelayMs(place, maxDelayMs * this.clock.getRandom());
    return () => {
      this.network.setDelayMs(place, 0);
    };
  }

  private cutBothWays(one: string, other: string): void {
    this.network.cutPath(one, other);
    this.network.cutPath(other, one);
  }

  private stopDaemon(host: SoakHost): void {
    void host.stopDaemon(GRACE_MS).then(() => {
      this.startLater(() => {
        host.restartDaemon();
      });
    });
  }

  /** Stops all daemons in turn. */
  private stopInTurn(): void {
    const gapMs = MAX_ROLL_GAP_MS * this.clock.getRandom();
    this.hosts.forEach((host, index) => {
      this.clock.startTimer(Math.min(index * gapMs, this.getRestMs()), () => {
        this.stopDaemon(host);
      });
    });
  }

  /** Returns the host that decides placement, as one of the daemons sees it. */
  private findCoordinator(): SoakHost | undefined {
    const [some] = this.hosts.filter(host =>
      host.daemon.place.process.isRunning(),
    );
    const live = some?.daemon.getView().getLiveSessions() ?? [];
    const members = live.map(({member}) => member);
    const chosen = chooseCoordinator(SOAK_SERVICE, members);
    return this.hosts.find(({name}) => name === chosen?.host);
  }

  private killDaemon(host: SoakHost): void {
    host.daemon.place.process.kill();
    this.startLater(() => {
      host.restartDaemon();
    });
  }

  private cutPower(host: SoakHost): void {
    host.server.place.process.kill();
    this.killDaemon(host);
    this.startLater(() => {
      host.restartServer();
    });
  }

  /**
   * Ends a host for good; another one starts at its address. One that follows so soon that it could take the
   * majority of a witness set along comes back, for nobody can prove the loss of both.
   */
  private endHost(host: SoakHost): void {
    const nowMs = this.clock.getElapsedMs();
    this.cutPower(host);
    if (nowMs - this.lastReplacedMs < REPLACED_GAP_MS) return;
    this.lastReplacedMs = nowMs;
    host.renewHost();
  }

  private startLater(start: () => void): void {
    const delayMs = RESTART_MS + RESTART_SPREAD_MS * this.clock.getRandom();
    this.clock.startTimer(delayMs, start);
  }

  private cutHost(
    host: SoakHost,
    isIncoming: boolean,
    isOutgoing: boolean,
  ): void {
    for (const other of [...this.hosts.map(({name}) => name), STORE_PLACE]) {
      if (other === host.name) continue;
      if (isOutgoing) this.network.cutPath(host.name, other);
      if (isIncoming) this.network.cutPath(other, host.name);
    }
  }

  private endFaults(): void {
    this.write('-- the faults end');
    this.network.reset();
    this.store.state.isOut = false;
    this.store.state.isLosingAnswers = false;
    this.isLate = false;
    for (const host of this.hosts) {
      host.heartbeatDelayMs = 0;
      host.server.place.process.continue();
    }
  }

  private write(text: string): void {
    const seconds = this.clock.getElapsedMs() / 1_000;
    this.trace.push(`${seconds.toFixed(3)} ${text}`);
  }
}
