/**
 * A small deployment on loopback: a store, and machines that each have a daemon (the project's own program,
 * started with the command of the deploy file) and an application server.
 */
import {spawn} from 'node:child_process';
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {fileURLToPath, URL} from 'node:url';

import {AppServer} from './app_server.mjs';
import {PlatformStore} from './platform_store.mjs';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Writes what is sent, answered and run to `record.txt` and keeps it in memory. */
export class Recorder {
  lines = [];
  #startedAt = performance.now();

  constructor(folder) {
    this.file = path.join(folder, 'record.txt');
  }

  add = (event, fields) => {
    const atMs = Math.round(performance.now() - this.#startedAt);
    this.lines.push({atMs, event, ...fields});
  };

  find(event) {
    return this.lines.filter(line => line.event === event);
  }

  write() {
    const text = this.lines.map(line => JSON.stringify(line)).join('\n');
    writeFileSync(this.file, `${text}\n`);
  }
}

function readRunCommand() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Finds a port that is free on each of the addresses. */
async function findPort(ips, count = 1) {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 12_000);
    const ports = Array.from({length: count}, (_, index) => first + index);
    const checks = ips.flatMap(ip => ports.map(port => isFree(ip, port)));
    if ((await Promise.all(checks)).every(Boolean)) return first;
  }
}

function isFree(ip, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

export class Deployment {
  store = new PlatformStore();
  machines = [];
  #folder = mkdtempSync(path.join(tmpdir(), 'review-'));

  constructor(recorder) {
    this.recorder = recorder;
  }

  /** Starts the store and one machine for each of the given services. */
  async start(services, {config, serverOptions = {}, bounds = {}}) {
    const ips = services.map((_, index) => `127.0.0.${20 + index}`);
    const port = await findPort(ips, 12);
    const storeAddress = await this.store.start('127.0.0.1');
    this.store.put('config', 'main', config);
    for (const [index, service] of services.entries()) {
      const ip = ips[index];
      const zone = `z${(index % 3) + 1}`;
      const server = new AppServer({
        service,
        record: this.recorder.add,
        ...serverOptions[service],
      });
      server.zone = zone;
      const serverAddress = await server.start(ip);
      const machine = {
        name: `sidecar-${zone}-${index}`,
        ip,
        service,
        server,
        outbound: `${ip}:${port + 4}`,
        ready: `${ip}:${port + 2}`,
        control: `${ip}:${port + 6}`,
        settings: {
          node: `sidecar-${zone}-${index}`,
          role: 'router',
          machine_class: 'sidecar',
          serves: ['sidecar', 'control'],
          ip,
          zone,
          region: 'r1',
          zones: {z1: 'r1', z2: 'r1', z3: 'r1'},
          listen: {
            inbound: `${ip}:${port}`,
            outbound: `${ip}:${port + 4}`,
            ready: `${ip}:${port + 2}`,
            control: `${ip}:${port + 6}`,
          },
          port_range: [port + 7, port + 11],
          seeds: [],
          bootstrap: true,
          limits: {
            cpu_share: 0.54,
            cores: 1,
            memory_mb: 350,
            max_fds: 4100,
            link_mbps: 1000,
            disk_mb: 0,
          },
          data_dir: null,
          discovery: 'local',
          entry: 'local',
          heartbeat_ms: 870,
          contracts: [
            'base',
            'drain',
            'config',
            'cost',
            'retry',
            'recover',
            'own',
            'platform',
          ],
          tolerate: {machines: 2, zones: 0, regions: 0},
          bounds: {
            seed_lag_s: 3,
            addr_reuse_s: 2,
            stability_window_ms: 3000,
            ack_ms: 4000,
            catch_up_s: 4,
            drain_ms: 2000,
            grace_s: 6,
            loss_slack_ms: 200,
            config_apply_ms: 2000,
            rollback_slack_ms: 250,
            max_stretch_ms: 5000,
            budget_ratio: 0.2,
            budget_window_s: 10,
            budget_slack: 60,
            recover_s: 15,
            hold_max_ms: 10000,
            thaw_ms: 300,
            ...bounds,
          },
          grants: 'heartbeat',
          app_addr: serverAddress,
          service,
          platform: {
            address: storeAddress,
            form: 'objects',
            writes_per_s: 400,
            reads_per_s: 2000,
            history_s: 20,
            value_bytes: 1048576,
            ttl_min_ms: 1000,
          },
        },
      };
      this.machines.push(machine);
      this.startDaemon(machine);
    }
    for (const {server, control} of this.machines) server.startBeats(control);
    return this.machines;
  }

  /** Removes a machine for good: its daemon and its server end without notice. */
  removeMachine(machine) {
    machine.isGone = true;
    machine.daemon.kill('SIGKILL');
    machine.server.stop();
    this.recorder.add('machine-removed', {machine: machine.name});
  }

  /** Adds an empty machine with the roles of another, at a new address. */
  async addReplacement(old, index) {
    const ip = `127.0.0.${60 + index}`;
    const {service, workMs} = old.server;
    const server = new AppServer({service, workMs, record: this.recorder.add});
    server.zone = old.server.zone;
    const address = await server.start(ip);
    const settings = JSON.parse(
      JSON.stringify(old.settings)
        .replaceAll(`"${old.ip}:`, `"${ip}:`)
        .replaceAll(`"${old.ip}"`, `"${ip}"`),
    );
    settings.node = `${old.name}-new`;
    settings.app_addr = address;
    const {outbound, ready, control} = settings.listen;
    const machine = {
      name: settings.node,
      ip,
      service,
      server,
      outbound,
      ready,
      control,
      settings,
    };
    this.machines.push(machine);
    this.startDaemon(machine);
    server.startBeats(control);
    return machine;
  }

  startDaemon(machine) {
    const file = path.join(this.#folder, `${machine.name}.json`);
    writeFileSync(file, JSON.stringify(machine.settings));
    machine.settings.bootstrap = false;
    const log = openSync(path.join(this.#folder, `${machine.name}.log`), 'a');
    const [program, ...args] = readRunCommand();
    machine.daemon = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        DOTTERELDRIFT_BOOT: file,
      },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    const {daemon} = machine;
    daemon.once('exit', (code, signal) => {
      this.recorder.add('daemon-ended', {machine: machine.name, code, signal});
    });
    this.recorder.add('daemon-started', {machine: machine.name});
  }

  readLog(machine) {
    return readFileSync(path.join(this.#folder, `${machine.name}.log`), 'utf8');
  }

  /** Waits until every daemon answers 200 on `/ready`; returns false if that takes too long. */
  async waitReady(machines = this.machines, limitMs = 15_000) {
    const endMs = performance.now() + limitMs;
    while (performance.now() < endMs) {
      const states = await Promise.all(
        machines.map(({ready}) => getStatus(ready, '/ready')),
      );
      if (states.every(status => status === 200)) return true;
      await sleep(100);
    }
    return false;
  }

  async stop() {
    const ends = this.machines.map(({daemon}) => {
      if (daemon.exitCode !== null || daemon.signalCode !== null)
        return undefined;
      const ended = new Promise(resolve => daemon.once('exit', resolve));
      daemon.kill('SIGKILL');
      return ended;
    });
    await Promise.all(ends);
    for (const {server} of this.machines) server.stop();
    this.store.stop();
    if (process.env.KEEP_LOGS === undefined)
      rmSync(this.#folder, {recursive: true});
    else process.stdout.write(`${this.#folder}\n`);
  }
}

export function getStatus(address, target) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const request = http.get(
      {host, port, path: target, agent: false, timeout: 1_000},
      response => {
        response.resume();
        resolve(response.statusCode);
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(0));
  });
}

/** A configuration with one route of each given kind; each service has the host `SERVICE.example`. */
export function createConfig(version, services, routes) {
  return {
    version: version.toString(16).padStart(8, '0'),
    resources: [
      ...Object.entries(routes).map(([name, spec]) => ({
        res_type: 'routes',
        metadata: {name},
        spec: {
          host: `${spec.service}.example`,
          path_prefix: `/${name}/`,
          kind: 'safe',
          timeout_ms: 1000,
          goal_ms: 250,
          priority: 1,
          attempts: 2,
          ...spec,
        },
      })),
      ...Object.entries(services).map(([name, spec]) => ({
        res_type: 'services',
        metadata: {name},
        spec: {
          health_path: '/health',
          max_conns: 120,
          protocol: 'h1',
          tls: false,
          ...spec,
        },
      })),
      {
        res_type: 'limits',
        metadata: {},
        spec: {
          max_header_bytes: 16384,
          max_body_bytes: 67108864,
          header_timeout_ms: 3000,
          idle_timeout_ms: 15000,
        },
      },
    ],
  };
}
