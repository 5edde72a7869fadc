/**
 * Runs a script in virtual time: real daemons with a simulated network, store and backend servers. The same script
 * and seed always produce the same trace.
 */
import * as E from 'fp-ts/lib/Either.js';

import type {Departure} from '@dottereldrift/bench/violations.js';
import {
  DRAIN_PREFIX,
  SUBMITTED_MANIFEST_KEY,
} from '@dottereldrift/daemon/store_view.js';
import {ASSIGNMENT_PREFIX} from '@dottereldrift/ownership/assignment_record.js';
import {getOwnedSlices} from '@dottereldrift/ownership/slices.js';
import type {RunRecord} from '@dottereldrift/standins/backend_server.js';
import {MemoryStore} from '@dottereldrift/store/memory_store.js';
import type {ObjectStore} from '@dottereldrift/store/types.js';

import {AbsenceLog} from './absence_log.js';
import type {Evidence} from './evidence.js';
import {createManifest} from './manifest.js';
import type {Action, HostPart, Script} from './script.js';
import {VirtualClock, VirtualProcess} from './virtual_clock.js';
import type {VirtualDaemon} from './virtual_daemon.js';
import {VirtualHost} from './virtual_host.js';
import {STORE_ENDPOINT, VirtualNetwork} from './virtual_network.js';
import {VirtualSampler} from './virtual_sampler.js';
import type {SharedStore} from './virtual_store.js';
import {VirtualTraffic} from './virtual_traffic.js';

/** Seed of a run and hooks with which tests disable one rule at a time. */
export interface VirtualRunOptions {
  readonly seed: number;
  /** Called with each daemon before it starts. */
  readonly onDaemon?: (daemon: VirtualDaemon) => void;
  /** Whether backend servers check grants; true if absent. */
  readonly isFencing?: boolean;
  /** Called with the store before the traffic starts. */
  readonly onStore?: (memory: MemoryStore) => void;
}

const READY_STEP_MS = 100;
const READY_TIMEOUT_MS = 30_000;
const RETRY_INTERVAL_MS = 500;
/** Time after the traffic for outstanding answers and configuration updates. */
const SETTLE_MS = 12_000;
const SERVER_GRACE_MS = 3_000;

/** Runs a script in virtual time. */
export async function runVirtually(
  script: Script,
  options: VirtualRunOptions,
): Promise<Evidence> {
  const scenarioRun = new VirtualScenarioRun(script, options);
  return scenarioRun.run();
}

class VirtualScenarioRun {
  private readonly clock: VirtualClock;
  private readonly network: VirtualNetwork;
  private readonly store: SharedStore;
  private readonly hosts: readonly VirtualHost[];
  private readonly traffic: VirtualTraffic;
  private readonly records: RunRecord[] = [];
  private readonly departures: Departure[] = [];
  private readonly absences: AbsenceLog;
  private readonly sampler: VirtualSampler;
  private readonly trace: string[] = [];
  private startedAtMs = 0;
  private lastVariant = 1;

  constructor(
    private readonly script: Script,
    private readonly options: VirtualRunOptions,
  ) {
    this.clock = new VirtualClock(options.seed);
    this.network = new VirtualNetwork(this.clock);
    this.absences = new AbsenceLog(() => this.clock.getNow().monotonicMs);
    this.store = this.createStore();
    this.hosts = this.createHosts();
    this.sampler = new VirtualSampler(
      this.clock,
      script.service,
      this.store.memory,
      () => this.listAvailableHosts(),
    );
    const callers = {
      name: 'callers',
      process: new VirtualProcess('callers', this.clock),
    };
    this.traffic = new VirtualTraffic(
      script,
      this.clock,
      this.network,
      callers,
      () => this.hosts.map(host => ({host: host.name, daemon: host.daemon})),
    );
  }

  async run(): Promise<Evidence> {
    for (const host of this.hosts) host.start();
    void this.applyManifest(
      this.getHost(0),
      createManifest(this.script.service, 0),
    );
    await this.waitUntilReady();
    this.options.onStore?.(this.store.memory);
    this.startedAtMs = this.clock.getNow().monotonicMs;
    this.traffic.start();
    this.sampler.start();
    for (const {atMs, text, action} of this.script.actions) {
      this.clock.startTimer(atMs, () => {
        this.trace.push(this.formatLine(`-- ${text}`));
        this.apply(action);
      });
    }
    const endMs =
      this.clock.getElapsedMs() + this.script.durationMs + SETTLE_MS;
    await this.clock.runUntil(endMs);
    return {
      results: this.traffic.results,
      records: this.records,
      departures: this.departures,
      absences: this.absences.endAll(),
      configurations: this.sampler.configurations,
      assignments: this.sampler.assignments,
      startedAtMs: this.startedAtMs,
      trace: this.trace,
    };
  }

  private createStore(): SharedStore {
    const process = new VirtualProcess(STORE_ENDPOINT, this.clock);
    return {
      endpoint: {name: STORE_ENDPOINT, process},
      memory: new MemoryStore(this.clock),
      state: {isOut: false, isLosingAnswers: false, writeDelayMs: 0},
      outageListeners: new Set(),
      onWriteAcknowledged: (key, value) => {
        if (key.startsWith(ASSIGNMENT_PREFIX))
          this.sampler.addAssignment('acknowledged', value);
      },
    };
  }

  private createHosts(): readonly VirtualHost[] {
    const {service, hosts, dataCentres} = this.script;
    const environment = {
      clock: this.clock,
      network: this.network,
      store: this.store,
      service,
      isFencing: this.options.isFencing ?? true,
      findPeer: ({ip}: {readonly ip: string}) =>
        this.hosts.find(host => host.identity.ip === ip)?.daemon,
      onRun: (record: RunRecord) => {
        this.records.push(record);
      },
      onLog: (host: string, message: string) => {
        this.trace.push(this.formatLine(`${host}: ${message}`));
      },
      onDaemon: (daemon: VirtualDaemon) => this.options.onDaemon?.(daemon),
    };
    return Array.from({length: hosts}, (_, index) => {
      const identity = {
        name: `${service}-${index + 1}`,
        ip: `10.0.0.${index + 1}`,
        dataCentre: `dc${(index % dataCentres) + 1}`,
      };
      return new VirtualHost(identity, environment);
    });
  }

  private async waitUntilReady(): Promise<void> {
    while (!this.isReady()) {
      if (this.clock.getElapsedMs() > READY_TIMEOUT_MS)
        throw new Error(
          `The deployment did not become ready:\n${this.trace.join('\n')}`,
        );
      await this.clock.runUntil(this.clock.getElapsedMs() + READY_STEP_MS);
    }
  }

  private isReady(): boolean {
    return this.hosts.every(host => {
      const {view, sessionManager} = host.daemon.getParts();
      const slices =
        view.getAssignment(this.script.service)?.assignment.slices ?? [];
      const owned = getOwnedSlices(slices, sessionManager.getMember());
      return sessionManager.isHeld() && owned.length > 0;
    });
  }

  private apply(action: Action): void {
    switch (action.kind) {
      case 'kill':
        return this.killHost(this.findHost(action.host), action.part);
      case 'start':
        this.findHost(action.host).restart();
        return this.absences.end(action.host, 'kill');
      case 'freeze':
        return this.freezeHost(this.findHost(action.host), action.part);
      case 'continue':
        return this.continueHost(this.findHost(action.host));
      case 'cut':
        return this.cutHost(action.host, action.lost);
      case 'cut-store':
        this.network.cutPath(action.host, STORE_ENDPOINT);
        this.network.cutPath(STORE_ENDPOINT, action.host);
        return this.absences.start(action.host, 'cut');
      case 'delay':
        return this.network.setDelayMs(action.host, action.delayMs);
      case 'restore':
        this.network.reset();
        for (const host of this.hosts) this.absences.end(host.name, 'cut');
        return;
      case 'hot-key':
        return this.traffic.setHotKey(action.oneIn);
      default:
        this.applyStoreOrOperatorAction(action);
    }
  }

  private applyStoreOrOperatorAction(action: Action): void {
    const {state, outageListeners} = this.store;
    switch (action.kind) {
      case 'store-outage':
        state.isOut = action.isOut;
        if (action.isOut) for (const end of outageListeners) end();
        return;
      case 'store-lost-answers':
        state.isLosingAnswers = action.isLosing;
        return;
      case 'store-write-delay':
        state.writeDelayMs = action.delayMs;
        return;
      case 'apply':
        this.applyNextManifest(0);
        return;
      case 'race':
        this.applyNextManifest(0);
        this.applyNextManifest(this.hosts.length - 1);
        return;
      case 'drain':
        void this.drainHost(action.host);
        return;
      case 'server-leaves':
        this.addDeparture(action.host);
        void this.findHost(action.host).server.drain(SERVER_GRACE_MS);
        return;
      case 'shutdown':
        void this.stopDaemon(this.findHost(action.host));
        return;
      default:
        throw new Error(`Unknown action ${action.kind}.`);
    }
  }

  private killHost(host: VirtualHost, part: HostPart): void {
    if (part !== 'server') {
      host.daemon.endpoint.process.kill();
      this.absences.start(host.name, 'kill');
    }
    if (part !== 'daemon') host.server.endpoint.process.kill();
  }

  private freezeHost(host: VirtualHost, part: HostPart): void {
    if (part !== 'server') {
      host.daemon.endpoint.process.freeze();
      this.absences.start(host.name, 'freeze');
    }
    if (part !== 'daemon') host.server.endpoint.process.freeze();
  }

  private continueHost(host: VirtualHost): void {
    host.daemon.endpoint.process.continue();
    host.server.endpoint.process.continue();
    this.absences.end(host.name, 'freeze');
  }

  private cutHost(name: string, lost: 'both' | 'incoming' | 'outgoing'): void {
    const others = this.hosts.map(host => host.name);
    for (const other of [...others, STORE_ENDPOINT]) {
      if (other === name) continue;
      if (lost !== 'incoming') this.network.cutPath(name, other);
      if (lost !== 'outgoing') this.network.cutPath(other, name);
    }
    this.absences.start(name, 'cut');
  }

  private async drainHost(name: string): Promise<void> {
    const host = this.findOperatorHost(name);
    const key = `${DRAIN_PREFIX}${name}`;
    const value = Buffer.from(JSON.stringify({host: name}));
    await this.retry(async () => {
      const written = await host.daemon
        .getStore()
        .updateObject(key, 0, value)();
      return E.isRight(written) || written.left.kind === 'conflict';
    });
    this.addDeparture(name);
  }

  private async stopDaemon(host: VirtualHost): Promise<void> {
    const atMs = this.clock.getNow().monotonicMs;
    await host.daemon.stop();
    host.daemon.endpoint.process.kill();
    const stoppedAtMs = this.clock.getNow().monotonicMs;
    this.departures.push({host: host.name, atMs, stoppedAtMs});
    this.trace.push(this.formatLine(`-- the daemon on ${host.name} ended`));
  }

  private applyNextManifest(hostIndex: number): void {
    this.lastVariant += 1;
    const manifest = createManifest(this.script.service, this.lastVariant);
    void this.applyManifest(this.getHost(hostIndex), manifest);
  }

  /**
   * Submits a manifest as a deployment pipeline does: retries failed writes, and stops on a version conflict, because
   * another operator has won the race.
   */
  private async applyManifest(
    host: VirtualHost,
    manifest: unknown,
  ): Promise<void> {
    const value = Buffer.from(JSON.stringify(manifest));
    await this.retry(async () => {
      const store: ObjectStore = host.daemon.getStore();
      const read = await store.getObject(SUBMITTED_MANIFEST_KEY)();
      if (E.isLeft(read)) return false;
      const version = read.right?.version ?? 0;
      const written = await store.updateObject(
        SUBMITTED_MANIFEST_KEY,
        version,
        value,
      )();
      return E.isRight(written) || written.left.kind === 'conflict';
    });
  }

  private async retry(tryOnce: () => Promise<boolean>): Promise<void> {
    while (!(await tryOnce())) {
      await new Promise<void>(resolve => {
        this.clock.startTimer(RETRY_INTERVAL_MS, resolve);
      });
    }
  }

  /** Returns the hosts whose daemons are running and not frozen. */
  private listAvailableHosts(): readonly VirtualHost[] {
    return this.hosts.filter(
      ({name, daemon}) =>
        daemon.endpoint.process.isRunning() &&
        !this.absences.isAbsent(name, 'freeze'),
    );
  }

  private addDeparture(host: string): void {
    this.departures.push({host, atMs: this.clock.getNow().monotonicMs});
  }

  /** Returns a host for operator calls that is neither absent nor excluded. */
  private findOperatorHost(excluded: string): VirtualHost {
    const found = this.hosts.find(
      ({name}) => name !== excluded && !this.absences.isAbsent(name),
    );
    return found ?? this.getHost(0);
  }

  private findHost(name: string): VirtualHost {
    const host = this.hosts.find(other => other.name === name);
    if (host === undefined) throw new Error(`There is no host ${name}.`);
    return host;
  }

  private getHost(index: number): VirtualHost {
    const host = this.hosts[index];
    if (host === undefined)
      throw new Error('The deployment has too few hosts.');
    return host;
  }

  private formatLine(text: string): string {
    const seconds = this.clock.getNow().monotonicMs - this.startedAtMs;
    return `${(seconds / 1_000).toFixed(1)} ${text}`;
  }
}
