/**
 * A small deployment on loopback for tests: a fake store, and hosts that each run the real daemon beside a fake
 * backend server. Records what callers are told and what the servers run.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';

import {CONFIGURATION, SETTINGS} from './examples.js';
import {FakeStore, type FakeStoreOptions} from './fake_store.js';

const BUNDLE = 'dist/dottereldrift.cjs';
const HEARTBEAT_INTERVAL_MS = 400;
const READY_LIMIT_MS = 20_000;
const POLL_MS = 50;
const SLOTS = 12;
const PORTS_PER_HOST = 12;
const FIRST_PORT = 21_000;
const PORT_SPAN = 10_000;
/** Objects in one page of a list, as on the platform. */
const STORE_PAGE_SIZE = 500;
const FIRST_VERSION = 7;
const STORE_IP = '127.0.0.29';
const FIRST_HOST_PART = 30;
/** Hosts that a test may add. */
const SPARE_HOSTS = 2;
/** Host of the routes that the versions of the configuration add. */
const ADDED_HOST = 'added.example';
const ADDED_DEADLINE_MS = 1_000;

/** A request that a server ran. */
export interface Run {
  readonly startedAtMs: number;
  endedAtMs: number;
}

/** What a caller was told. */
export interface Answer {
  readonly requestId: string;
  readonly hostIndex: number;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 if the connection ended without a complete response. */
  readonly status: number;
  /** Error of the connection; empty if there was none. */
  readonly error: string;
}

/** Parameters of a request. */
export interface RequestOptions {
  readonly service: string;
  /** Time for which the server works on it. */
  readonly workMs: number;
  readonly deadlineMs: number;
  /** Key of a service that is divided by key. */
  readonly key?: number;
  /** Connections to use; a new connection if omitted. */
  readonly agent?: http.Agent;
}

/** What the fleet needs of a backend server. */
export interface BackendServer {
  /** Listens and returns its address. */
  start(ip: string): Promise<string>;
  sendHeartbeats(address: string, control: string): void;
  stop(): void;
}

/** What a test chooses about the fleet. */
export interface FleetOptions extends FakeStoreOptions {
  /** Creates the servers of services that are divided by key; services are not divided if omitted. */
  readonly createKeyedServer?: (service: string) => BackendServer;
}

/** A backend server that runs each request for the time that its path names. */
class FakeBackendServer implements BackendServer {
  private readonly server: http.Server;
  private readonly id: string;
  private readonly bornAtMs = Date.now();
  private timer: NodeJS.Timeout | undefined;
  private sequence = 0;
  private isStopped = false;

  constructor(
    private readonly service: string,
    private readonly runs: Map<string, Run[]>,
  ) {
    this.id = `i-${service}-${this.bornAtMs}`;
    this.server = http.createServer((request, response) => {
      this.run(request, response);
    });
  }

  async start(ip: string): Promise<string> {
    this.server.listen(0, ip);
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    return `${ip}:${port}`;
  }

  /** Sends a heartbeat now and then periodically to a daemon. */
  sendHeartbeats(address: string, control: string): void {
    if (this.isStopped) return;
    this.sequence += 1;
    const body = JSON.stringify({
      service: this.service,
      address,
      zone: 'z1',
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      cold_left_ms: 0,
      seq: this.sequence,
      born: this.bornAtMs,
      holds: [],
      freed: [],
    });
    const request = http.request(`http://${control}/instances/${this.id}`, {
      method: 'PUT',
      agent: false,
      headers: {'content-type': 'application/json'},
    });
    request.on('error', () => {});
    request.on('response', response => response.resume());
    request.end(body);
    this.timer = setTimeout(() => {
      this.sendHeartbeats(address, control);
    }, HEARTBEAT_INTERVAL_MS);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  private run(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const requestId = String(request.headers['request-id'] ?? '');
    const workMs = Number(request.url?.split('/')[2] ?? 0);
    request.resume();
    request.once('end', () => {
      const run = {startedAtMs: performance.now(), endedAtMs: Infinity};
      this.runs.set(requestId, [...(this.runs.get(requestId) ?? []), run]);
      const timer = setTimeout(() => {
        run.endedAtMs = performance.now();
        response.writeHead(200, {
          'request-id': requestId,
          'server-seal': `seal.${requestId}`,
          'content-length': 2,
        });
        response.end('ok');
      }, workMs);
      response.once('close', () => {
        clearTimeout(timer);
      });
    });
  }
}

/** A host of the deployment. */
export interface PlatformHost {
  readonly index: number;
  readonly service: string;
  readonly settings: typeof SETTINGS;
  readonly server: BackendServer;
  readonly logPath: string;
  daemon: ChildProcess;
}

/** The deployment. */
export class PlatformFleet {
  readonly answers: Answer[] = [];
  /** The runs of each request by its identifier. */
  readonly runs = new Map<string, Run[]>();
  readonly hosts: PlatformHost[] = [];
  readonly store: FakeStore;
  private readonly directory = mkdtempSync(path.join(tmpdir(), 'fleet-'));
  /** Hosts whose daemon is stopping or has stopped. */
  private readonly stopping = new Set<number>();
  private requestCount = 0;
  private services: readonly string[] = [];
  private port = 0;
  private graceS = 0;

  constructor(private readonly options: FleetOptions = {}) {
    this.store = new FakeStore({pageSize: STORE_PAGE_SIZE, ...options});
  }

  /** Starts one host for each service, and waits until all daemons are ready. */
  async start(services: readonly string[], graceS: number): Promise<void> {
    this.services = services;
    this.store.isWaitingForChanges = true;
    this.graceS = graceS;
    const places = services.length + SPARE_HOSTS;
    const ips = Array.from({length: places}, (_, index) => formatIp(index));
    this.port = await findPorts([STORE_IP, ...ips]);
    // Outside of the range of ports for outgoing connections, so that it is still free when the store returns.
    await this.store.start({ip: STORE_IP, port: this.port});
    this.writeConfiguration(FIRST_VERSION, []);
    for (const service of services) await this.addHost(service);
    await this.waitUntilReady();
  }

  /** Starts one more host; returns its index. */
  async addHost(service: string): Promise<number> {
    const {port} = this;
    const {length: index} = this.hosts;
    const ip = formatIp(index);
    const server =
      this.options.createKeyedServer?.(service) ??
      new FakeBackendServer(service, this.runs);
    const serverAddress = await server.start(ip);
    const settings = {
      ...SETTINGS,
      node: `sidecar-z1-${index}`,
      ip,
      listen: {
        inbound: `${ip}:${port}`,
        outbound: `${ip}:${port + 1}`,
        ready: `${ip}:${port + 2}`,
        control: `${ip}:${port + 3}`,
      },
      port_range: [port + 4, port + PORTS_PER_HOST - 1],
      bounds: {...SETTINGS.bounds, grace_s: this.graceS},
      app_addr: serverAddress,
      service,
      platform: {address: `${STORE_IP}:${port}`},
    };
    const logPath = path.join(this.directory, `${settings.node}.log`);
    const daemon = this.startDaemon(settings, logPath);
    this.hosts.push({index, service, settings, server, logPath, daemon});
    server.sendHeartbeats(serverAddress, settings.listen.control);
    return index;
  }

  /** Writes a version of the configuration, with a route for each of the names; the store has then acknowledged it. */
  writeConfiguration(version: number, added: readonly string[]): void {
    const isSharded = this.options.createKeyedServer !== undefined;
    const body = createConfiguration(this.services, version, added, isSharded);
    this.store.put('config', 'main', body);
  }

  /** Returns the status with which a daemon answers a request on an added route; 0 if there is no answer. */
  askAddedRoute(hostIndex: number, name: string): Promise<number> {
    const {outbound} = this.getHost(hostIndex).settings.listen;
    this.requestCount += 1;
    return new Promise(resolve => {
      http
        .get(
          `http://${outbound}/${name}/0/x`,
          {
            agent: false,
            headers: {
              host: ADDED_HOST,
              'request-id': `a${this.requestCount}`,
              'deadline-ms': ADDED_DEADLINE_MS,
            },
          },
          response => {
            response.on('error', () => {});
            response.resume();
            response.once('close', () => {
              resolve(response.complete ? (response.statusCode ?? 0) : 0);
            });
          },
        )
        .once('error', () => resolve(0));
    });
  }

  /** Tells whether a daemon says that it is ready. */
  isReady(hostIndex: number): Promise<boolean> {
    const {ready} = this.getHost(hostIndex).settings.listen;
    return new Promise(resolve => {
      http
        .get(`http://${ready}/ready`, {agent: false}, response => {
          response.resume();
          resolve(response.statusCode === 200);
        })
        .once('error', () => resolve(false));
    });
  }

  /** Kills a daemon; resolves when it has exited. */
  async killDaemon(hostIndex: number): Promise<void> {
    const {daemon} = this.getHost(hostIndex);
    const exited = once(daemon, 'exit');
    daemon.kill('SIGKILL');
    await exited;
  }

  /** Sends a request to the daemon of a host and records what its caller is told. */
  send(hostIndex: number, options: RequestOptions): Promise<Answer> {
    const {service, workMs, deadlineMs, agent, key} = options;
    this.requestCount += 1;
    const requestId = `r${this.requestCount}`;
    const sentAtMs = performance.now();
    const {outbound} = this.getHost(hostIndex).settings.listen;
    return new Promise(resolve => {
      const finish = (status: number, error = '') => {
        const endedAtMs = performance.now();
        const answer = {requestId, hostIndex, sentAtMs, endedAtMs};
        this.answers.push({...answer, status, error});
        resolve({...answer, status, error});
      };
      const request = http.request(
        `http://${outbound}/${service}/${workMs}/x`,
        {
          method: 'POST',
          agent: agent ?? false,
          headers: {
            host: `${service}.example`,
            'request-id': requestId,
            'deadline-ms': deadlineMs,
            'content-length': 3,
            ...(key === undefined ? {} : {'shard-key': key}),
          },
        },
        response => {
          response.on('error', () => {});
          response.resume();
          response.once('close', () => {
            if (response.complete) finish(response.statusCode ?? 0);
            else finish(0, 'truncated');
          });
        },
      );
      request.once('error', (error: NodeJS.ErrnoException) => {
        finish(0, error.code ?? error.message);
      });
      request.end('pay');
    });
  }

  /** Sends SIGTERM to a daemon, and SIGKILL at the end of its grace period; resolves when it has exited. */
  async stopDaemon(hostIndex: number, graceMs: number): Promise<void> {
    const {daemon} = this.getHost(hostIndex);
    const exited = once(daemon, 'exit');
    this.stopping.add(hostIndex);
    daemon.kill('SIGTERM');
    const timer = setTimeout(() => daemon.kill('SIGKILL'), graceMs);
    await exited;
    clearTimeout(timer);
  }

  /** Sends SIGTERM to a daemon that is stopping or has stopped; returns false if it is not. */
  signalStopping(hostIndex: number): boolean {
    if (!this.stopping.has(hostIndex)) return false;
    this.getHost(hostIndex).daemon.kill('SIGTERM');
    return true;
  }

  /** Starts the daemon of a host again. */
  restartDaemon(hostIndex: number): void {
    const host = this.getHost(hostIndex);
    host.daemon = this.startDaemon(host.settings, host.logPath);
    this.stopping.delete(hostIndex);
  }

  readLogs(): string {
    return this.hosts
      .map(({logPath}) => readFileSync(logPath, 'utf8'))
      .join('\n');
  }

  async stop(): Promise<void> {
    for (const {daemon, server} of this.hosts) {
      if (daemon.exitCode === null && daemon.signalCode === null) {
        const exited = once(daemon, 'exit');
        daemon.kill('SIGKILL');
        await exited;
      }
      server.stop();
    }
    await this.store.stop();
    rmSync(this.directory, {recursive: true});
  }

  private getHost(hostIndex: number): PlatformHost {
    const host = this.hosts[hostIndex];
    if (host === undefined) throw new Error(`There is no host ${hostIndex}.`);
    return host;
  }

  private startDaemon(
    settings: typeof SETTINGS,
    logPath: string,
  ): ChildProcess {
    const file = path.join(this.directory, `${settings.node}.json`);
    writeFileSync(file, JSON.stringify(settings));
    writeFileSync(logPath, '', {flag: 'a'});
    const daemon = spawn(process.execPath, [BUNDLE, 'platform-daemon'], {
      env: {...process.env, DOTTERELDRIFT_BOOT: file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [daemon.stdout, daemon.stderr]) {
      stream.on('data', (chunk: Buffer) => {
        writeFileSync(logPath, chunk, {flag: 'a'});
      });
    }
    return daemon;
  }

  private async waitUntilReady(): Promise<void> {
    const endMs = performance.now() + READY_LIMIT_MS;
    for (const {index, service} of this.hosts) {
      while (!(await this.isServed(index, service))) {
        if (performance.now() > endMs)
          throw new Error(`The daemon of host ${index} is not ready.`);
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
      }
    }
    this.answers.length = 0;
  }

  /** Tells whether a daemon is ready and serves the service of its own host. */
  private async isServed(hostIndex: number, service: string): Promise<boolean> {
    if (!(await this.isReady(hostIndex))) return false;
    if (this.options.createKeyedServer !== undefined) return true;
    const options = {service, workMs: 1, deadlineMs: 1_000};
    return (await this.send(hostIndex, options)).status === 200;
  }
}

/** Creates a configuration with one unsafe route for each service, and added routes to the first service. */
function createConfiguration(
  services: readonly string[],
  version: number,
  added: readonly string[],
  isSharded: boolean,
): object {
  const names = [...new Set(services)];
  const limits = CONFIGURATION.resources.filter(
    resource => resource.res_type === 'limits',
  );
  const routes = [
    ...names.map(name =>
      createRoute(name, `${name}.example`, 'unsafe', 60_000, name),
    ),
    ...added.map(name =>
      createRoute(name, ADDED_HOST, 'safe', ADDED_DEADLINE_MS, names[0] ?? ''),
    ),
  ];
  const entries = names.map(name => ({
    res_type: 'services',
    metadata: {name},
    spec: {
      health_path: '/health',
      max_conns: 200,
      ...(isSharded ? {sharded: true} : {}),
    },
  }));
  return {
    version: version.toString(16).padStart(8, '0'),
    resources: [...routes, ...entries, ...limits],
  };
}

function createRoute(
  name: string,
  host: string,
  kind: string,
  timeoutMs: number,
  service: string,
): object {
  return {
    res_type: 'routes',
    metadata: {name},
    spec: {
      host,
      path_prefix: `/${name}/`,
      kind,
      timeout_ms: timeoutMs,
      goal_ms: 250,
      priority: 1,
      attempts: 2,
      service,
    },
  };
}

function formatIp(hostIndex: number): string {
  return `127.0.0.${FIRST_HOST_PART + hostIndex}`;
}

/** Finds the first of a row of ports that are free on all addresses. */
async function findPorts(ips: readonly string[]): Promise<number> {
  for (;;) {
    const first = FIRST_PORT + Math.floor(Math.random() * PORT_SPAN);
    const checks = ips.flatMap(ip =>
      Array.from({length: PORTS_PER_HOST}, (_, index) =>
        isPortFree(ip, first + index),
      ),
    );
    if ((await Promise.all(checks)).every(Boolean)) return first;
  }
}

function isPortFree(ip: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}
