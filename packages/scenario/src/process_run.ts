/**
 * Runs a script on real processes: a fleet on the loopback interface, with a fault-injecting proxy link in front of
 * each daemon and between each daemon and the store.
 */
import {createHash} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {monitorEventLoopDelay} from 'node:perf_hooks';

import type {Deployment} from '@dottereldrift/bench/deployments.js';
import {Fleet, type FleetHost} from '@dottereldrift/bench/fleet.js';
import {
  type AssignmentSample,
  type ConfigurationSample,
  type Departure,
  STORE_OBSERVER,
} from '@dottereldrift/bench/violations.js';
import {LoadGenerator} from '@dottereldrift/bench/load.js';
import {createNodeSystem, waitFor} from '@dottereldrift/core/system.js';
import {ACCEPTED_MANIFEST_KEY} from '@dottereldrift/daemon/store_view.js';
import type {AcceptedManifest} from '@dottereldrift/manifest/types.js';
import {
  getAssignmentKey,
  parseAssignment,
} from '@dottereldrift/ownership/assignment_record.js';

import {AbsenceLog} from './absence_log.js';
import type {Evidence} from './evidence.js';
import {createManifest} from './manifest.js';
import type {Action, Script} from './script.js';

const SAMPLE_INTERVAL_MS = 250;
const STATUS_TIMEOUT_MS = 1_000;
const RETRY_INTERVAL_MS = 250;
const SERVICE_MS = 8;
const STRAGGLER_SHARE = 0.1;
const SLOTS = 6;
const CONNECTIONS = 120;
const SETTLE_TIMEOUT_MS = 10_000;
const EVIDENCE_FILE = 'evidence.json';
const US_PER_MS = 1_000;
const NS_PER_MS = 1e6;

const system = createNodeSystem();

/** Runs a script on a new fleet, stops the fleet afterwards and writes the evidence to the fleet's directory. */
export async function runOnProcesses(
  script: Script,
  seed: number,
  directory: string,
): Promise<Evidence> {
  const fleet = new Fleet({
    deployment: createDeployment(script),
    directory,
    stragglerShare: STRAGGLER_SHARE,
    hasLinks: true,
  });
  try {
    await fleet.start();
    const harness = observeHarness();
    const evidence = await new ProcessScenarioRun(script, fleet).run(seed);
    const unixMs = Date.now() - getNowMs() + evidence.startedAtMs;
    const report = {...evidence, startedAtUnixMs: unixMs, harness: harness()};
    const text = JSON.stringify(report);
    writeFileSync(join(directory, EVIDENCE_FILE), text);
    return evidence;
  } finally {
    await fleet.stop();
  }
}

/** Load of the test process itself, which sends the requests and runs the links. */
interface HarnessLoad {
  readonly processorMs: number;
  readonly loopUtilization: number;
  readonly loopDelayP99Ms: number;
  readonly loopDelayMaxMs: number;
}

/** Measures the load of this process until the returned function is called. */
function observeHarness(): () => HarnessLoad {
  const delay = monitorEventLoopDelay();
  delay.enable();
  const processor = process.cpuUsage();
  const loop = performance.eventLoopUtilization();
  return () => {
    delay.disable();
    const {user, system: kernel} = process.cpuUsage(processor);
    const {utilization} = performance.eventLoopUtilization(loop);
    return {
      processorMs: (user + kernel) / US_PER_MS,
      loopUtilization: utilization,
      loopDelayP99Ms: delay.percentile(99) / NS_PER_MS,
      loopDelayMaxMs: delay.max / NS_PER_MS,
    };
  };
}

class ProcessScenarioRun {
  private readonly departures: Departure[] = [];
  private readonly absences = new AbsenceLog(getNowMs);
  private readonly configurations: ConfigurationSample[] = [];
  private readonly assignments: AssignmentSample[] = [];
  private readonly trace: string[] = [];
  private readonly pendingOperations: Array<Promise<void>> = [];
  private hasFinished = false;
  private lastVariant = 1;

  constructor(
    private readonly script: Script,
    private readonly fleet: Fleet,
  ) {}

  async run(seed: number): Promise<Evidence> {
    const {fleet, script} = this;
    const load = new LoadGenerator({
      deployment: createDeployment(script),
      targets: fleet.hosts.map(host => fleet.getCallerUrl(host)),
      requestsPerSecond: script.requestsPerSecond,
      durationMs: script.durationMs,
      seed,
      keys: script.keys,
    });
    const startedAtMs = getNowMs();
    const offsetMs = startedAtMs - performance.now();
    const sampling = this.sampleUntilOver();
    const [results] = await Promise.all([load.run(), this.runActions()]);
    await Promise.all(this.pendingOperations);
    await this.waitUntilSettled();
    this.hasFinished = true;
    await sampling;
    const hostNames = new Map(
      fleet.hosts.map(host => [fleet.getCallerUrl(host), host.name]),
    );
    return {
      results: results.map(result => ({
        ...result,
        dueAtMs: result.dueAtMs + offsetMs,
        entryHost: hostNames.get(result.target ?? '') ?? '',
      })),
      records: fleet.readRecords(),
      departures: this.departures,
      absences: this.absences.endAll(),
      configurations: this.configurations,
      assignments: this.assignments,
      startedAtMs,
      trace: this.trace,
    };
  }

  private async runActions(): Promise<void> {
    const startMs = getNowMs();
    for (const {atMs, text, action} of this.script.actions) {
      await waitFor(system, Math.max(0, startMs + atMs - getNowMs()));
      this.trace.push(text);
      await this.apply(action);
    }
  }

  private async apply(action: Action): Promise<void> {
    const {fleet} = this;
    switch (action.kind) {
      case 'store-outage':
        return fleet.setStoreFaults({isOut: action.isOut});
      case 'store-lost-answers':
        return fleet.setStoreFaults({isLosingAnswers: action.isLosing});
      case 'store-write-delay':
        return fleet.setStoreFaults({writeDelayMs: action.delayMs});
      case 'restore':
        fleet.resetLinks();
        for (const host of fleet.hosts) this.absences.end(host.name, 'cut');
        return;
      case 'apply':
        this.pendingOperations.push(this.applyManifest(0));
        return;
      case 'race':
        this.pendingOperations.push(
          this.applyManifest(0),
          this.applyManifest(-1),
        );
        return;
      case 'hot-key':
        throw new Error('Hot keys are supported in virtual time only.');
      default:
        return this.applyToHost(action, fleet.getHost(action.host));
    }
  }

  private async applyToHost(
    action: Extract<Action, {readonly host: string}>,
    host: FleetHost,
  ): Promise<void> {
    const {fleet} = this;
    switch (action.kind) {
      case 'kill':
        this.absences.start(host.name, 'kill');
        if (action.part !== 'server') await fleet.getDaemon(host).kill();
        if (action.part !== 'daemon') await fleet.getServer(host).kill();
        return;
      case 'start':
        await fleet.startDaemon(host);
        await fleet.startServer(host);
        return this.absences.end(host.name, 'kill');
      case 'freeze':
        this.absences.start(host.name, 'freeze');
        if (action.part !== 'server') fleet.getDaemon(host).signal('SIGSTOP');
        if (action.part !== 'daemon') fleet.getServer(host).signal('SIGSTOP');
        return;
      case 'continue':
        fleet.getDaemon(host).signal('SIGCONT');
        fleet.getServer(host).signal('SIGCONT');
        return this.absences.end(host.name, 'freeze');
      case 'drain':
        this.pendingOperations.push(this.drainHost(host));
        return;
      case 'server-leaves':
        this.departures.push({host: host.name, atMs: getNowMs()});
        fleet.getServer(host).signal('SIGTERM');
        return;
      case 'shutdown':
        this.pendingOperations.push(this.stopDaemon(host));
        return;
      default:
        this.cutHost(action, host);
    }
  }

  private cutHost(action: Action, host: FleetHost): void {
    if (action.kind === 'delay') {
      const {delayMs} = action;
      const rule = {passesRequests: true, passesAnswers: true, delayMs};
      this.fleet.setHostLinks(host, rule);
      this.fleet.setStoreLink(host, rule);
      return;
    }
    this.absences.start(host.name, 'cut');
    const lost = action.kind === 'cut' ? action.lost : 'both';
    const rule = {
      passesRequests: lost === 'incoming',
      passesAnswers: lost === 'outgoing',
      delayMs: 0,
    };
    this.fleet.setStoreLink(host, rule);
    if (action.kind === 'cut') this.fleet.setHostLinks(host, rule);
  }

  private async drainHost(host: FleetHost): Promise<void> {
    await this.retryCall(host, 'POST', `/drain/${host.name}`);
    this.departures.push({host: host.name, atMs: getNowMs()});
  }

  private async stopDaemon(host: FleetHost): Promise<void> {
    const atMs = getNowMs();
    const daemon = this.fleet.getDaemon(host);
    daemon.signal('SIGTERM');
    await daemon.waitForExit();
    const stoppedAtMs = getNowMs();
    this.departures.push({host: host.name, atMs, stoppedAtMs});
  }

  private async applyManifest(hostIndex: number): Promise<void> {
    this.lastVariant += 1;
    const manifest = createManifest(this.script.service, this.lastVariant);
    const text = JSON.stringify(manifest);
    const host = this.fleet.hosts.at(hostIndex);
    if (host === undefined) return;
    await this.retryCall(undefined, 'PUT', '/manifest', {text}, host);
  }

  /** Repeats an operator call until it succeeds or conflicts with the call of another operator. */
  private async retryCall(
    excluded: FleetHost | undefined,
    method: 'PUT' | 'POST',
    path: string,
    body?: unknown,
    fixedHost?: FleetHost,
  ): Promise<void> {
    for (;;) {
      const host = fixedHost ?? this.findOperatorHost(excluded);
      const answer = await this.fleet
        .callOperator(host, method, path, body)
        .catch(() => undefined);
      const status = answer?.status ?? 0;
      if (status >= 200 && (status < 300 || status === 409)) return;
      await waitFor(system, RETRY_INTERVAL_MS);
    }
  }

  private findOperatorHost(excluded: FleetHost | undefined): FleetHost {
    const found = this.fleet.hosts.find(
      host => host !== excluded && !this.absences.isAbsent(host.name),
    );
    if (found === undefined)
      throw new Error('No host is available for operator calls.');
    return found;
  }

  private async waitUntilSettled(): Promise<void> {
    const isSettled = async () => {
      const stored = await this.readStoredGeneration();
      const statuses = await Promise.all(
        this.listAvailableHosts().map(host => this.fleet.getStatus(host)),
      );
      return statuses.every(status => status.manifestGeneration >= stored);
    };
    await this.fleet.waitUntil(isSettled, SETTLE_TIMEOUT_MS);
  }

  private async sampleUntilOver(): Promise<void> {
    while (!this.hasFinished) {
      await Promise.all(
        this.listAvailableHosts().map(host => this.sampleHost(host)),
      );
      await this.sampleStore();
      await waitFor(system, SAMPLE_INTERVAL_MS);
    }
  }

  private async sampleHost(host: FleetHost): Promise<void> {
    const atMs = getNowMs();
    const status = await Promise.race([
      this.fleet.getStatus(host).catch(() => undefined),
      waitFor(system, STATUS_TIMEOUT_MS),
    ]);
    if (status === undefined || this.absences.isAbsent(host.name)) return;
    const {manifestGeneration} = status;
    const observer = host.name;
    this.configurations.push({
      host: observer,
      atMs,
      generation: manifestGeneration,
    });
    for (const {service, generation} of status.services)
      this.assignments.push({observer, service, generation, digest: undefined});
  }

  private async sampleStore(): Promise<void> {
    const atMs = getNowMs();
    const {service} = this.script;
    const objects = await this.fleet
      .readStoreObjects('')
      .catch(() => undefined);
    const assignment = objects?.get(getAssignmentKey(service));
    if (assignment === undefined) return;
    const generation = parseGeneration(objects?.get(ACCEPTED_MANIFEST_KEY));
    this.configurations.push({host: STORE_OBSERVER, atMs, generation});
    this.assignments.push({
      observer: STORE_OBSERVER,
      service,
      generation: parseAssignment(assignment).generation,
      digest: createHash('sha256').update(assignment).digest('base64url'),
    });
  }

  private async readStoredGeneration(): Promise<number> {
    const objects = await this.fleet.readStoreObjects('manifest/');
    return parseGeneration(objects.get(ACCEPTED_MANIFEST_KEY));
  }

  /** Returns the hosts that are not absent and whose daemons are running. */
  private listAvailableHosts(): readonly FleetHost[] {
    return this.fleet.hosts.filter(
      host =>
        !this.absences.isAbsent(host.name) &&
        this.fleet.getDaemon(host).isRunning(),
    );
  }
}

function createDeployment(script: Script): Deployment {
  const {service, hosts, dataCentres} = script;
  const base = {service, isKeyed: true} as const;
  return {
    name: 'scenario',
    region: 'region-1',
    dataCentres: Array.from({length: dataCentres}, (_, i) => `dc${i + 1}`),
    slots: SLOTS,
    connections: CONNECTIONS,
    services: [{service, servers: hosts, serviceMs: SERVICE_MS}],
    traffic: [
      {
        ...base,
        kind: 'read',
        method: 'GET',
        path: '/view',
        isIdempotent: true,
        share: 0.5,
      },
      {
        ...base,
        kind: 'write',
        method: 'POST',
        path: '/change',
        isIdempotent: false,
        share: 0.5,
      },
    ],
    manifest: createManifest(service, 0),
  };
}

function parseGeneration(value: Uint8Array | undefined): number {
  if (value === undefined) return 0;
  const text = Buffer.from(value).toString('utf8');
  return (JSON.parse(text) as AcceptedManifest).generation;
}

/** Returns the time of the monotonic clock, which all processes of the host share. */
function getNowMs(): number {
  return system.getNow().monotonicMs;
}
