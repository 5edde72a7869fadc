/* global AbortSignal, Buffer, performance, process, setTimeout */
// Starts the project's daemons, each beside a stand-in of a backend server, on loopback addresses, with the command of
// the deploy file and settings like those of a small deployment.
import {spawn} from 'node:child_process';
import {
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
  appendFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {Store} from './store.mjs';

export const BOUNDS = {
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
  budget_slack: 58,
  recover_s: 15,
  hold_max_ms: 10000,
  thaw_ms: 300,
};
const STORE_IP = '127.0.7.1';
const PORTS = 16;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Writes lines with the time since the start to record.txt and to standard output. */
export class Record {
  startedAt = performance.now();
  constructor(path) {
    this.path = path;
    writeFileSync(path, '');
  }
  formatTime(at = performance.now()) {
    return `${((at - this.startedAt) / 1_000).toFixed(3)} s`;
  }
  write(text) {
    const line = `${this.formatTime()}  ${text}`;
    this.append(line);
    process.stdout.write(`${line}\n`);
  }
  /** Writes a line to the file alone. */
  append(line) {
    appendFileSync(this.path, `${line}\n`);
  }
}

function readRunCommand(root) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const [, words] = /^run = "(.*)"$/m.exec(text);
  return words.split(' ');
}

async function isFree(ip, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

export class Fleet {
  hosts = [];
  requests = 0;
  children = new Set();

  constructor(root, record, {linkMbps = 1000} = {}) {
    Object.assign(this, {root, record, linkMbps});
    this.command = readRunCommand(root);
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
    this.store = new Store();
    process.on('exit', () => {
      for (const child of this.children) child.kill('SIGKILL');
    });
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'])
      process.once(signal, () => process.exit(2));
    // An error of the case itself is no broken rule.
    process.on('uncaughtException', error => {
      record.write(`the case could not run: ${error.stack}`);
      process.exit(2);
    });
  }

  async start(config, servers) {
    const ips = [
      STORE_IP,
      ...servers.map((_, index) => `127.0.7.${index + 10}`),
    ];
    for (;;) {
      this.port = 20_000 + Math.floor(Math.random() * 10_000);
      const checks = [];
      for (const ip of ips)
        for (let port = this.port; port < this.port + PORTS; port += 1)
          checks.push(isFree(ip, port));
      if ((await Promise.all(checks)).every(Boolean)) break;
    }
    await this.store.start(STORE_IP, this.port);
    this.store.put('config', 'main', config);
    for (const server of servers) await this.addHost(server);
  }

  async addHost(server) {
    const index = this.hosts.length;
    const ip = `127.0.7.${index + 10}`;
    const {port} = this;
    await server.start(ip, port + 4);
    const zone = `z-${'abc'[index % 3]}`;
    const settings = {
      node: `sidecar-${zone}-${index}`,
      role: 'router',
      machine_class: 'sidecar',
      serves: ['sidecar', 'control'],
      ip,
      zone,
      region: 'z',
      zones: {'z-a': 'z', 'z-b': 'z', 'z-c': 'z'},
      listen: {
        inbound: `${ip}:${port}`,
        outbound: `${ip}:${port + 1}`,
        ready: `${ip}:${port + 2}`,
        control: `${ip}:${port + 3}`,
      },
      port_range: [port + 5, port + PORTS - 1],
      seeds: [],
      bootstrap: true,
      counts_as_loss: false,
      limits: {
        cpu_share: 0.54,
        cores: 1,
        memory_mb: 350,
        max_fds: 4100,
        link_mbps: this.linkMbps,
        disk_mb: 0,
      },
      data_dir: null,
      discovery: 'local',
      entry: 'local',
      heartbeat_ms: 1500,
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
      bounds: BOUNDS,
      grants: 'heartbeat',
      app_addr: server.address,
      service: server.service,
      platform: {
        address: `${STORE_IP}:${port}`,
        form: 'objects',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
        ttl_min_ms: 1000,
      },
    };
    const host = {
      index,
      ip,
      server,
      settings,
      log: join(this.directory, `${settings.node}.log`),
    };
    this.hosts.push(host);
    this.startDaemon(host);
    server.beatTo(settings.listen.control);
    return host;
  }

  startDaemon(host) {
    const file = join(this.directory, `${host.settings.node}.json`);
    writeFileSync(file, JSON.stringify(host.settings));
    const log = openSync(host.log, 'a');
    const [program, ...words] = this.command;
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, words, {
      cwd: this.root,
      env: {PATH, HOME, ...(LANG ? {LANG} : {}), DOTTERELDRIFT_BOOT: file},
      stdio: ['ignore', log, log],
    });
    this.children.add(child);
    host.daemon = child;
    child.once('exit', (code, signal) => {
      this.children.delete(child);
      this.record.write(
        `process ${host.settings.node} ended: code ${code}, signal ${signal}`,
      );
    });
    this.record.write(`process ${host.settings.node} started`);
    return child;
  }

  async kill(host, signal = 'SIGKILL') {
    const {daemon} = host;
    if (daemon.exitCode !== null || daemon.signalCode !== null) return;
    const exited = new Promise(resolve => daemon.once('exit', resolve));
    this.record.write(`${signal} to ${host.settings.node}`);
    daemon.kill(signal);
    await exited;
  }

  /** Asks a daemon whether it is ready. */
  isReady(host) {
    return new Promise(resolve => {
      const request = http.get(
        `http://${host.settings.listen.ready}/ready`,
        {agent: false, signal: AbortSignal.timeout(900)},
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.once('error', () => resolve(false));
    });
  }

  async waitUntilReady(hosts = this.hosts, limitMs = 20_000) {
    const endMs = performance.now() + limitMs;
    for (const host of hosts)
      while (!(await this.isReady(host))) {
        if (performance.now() > endMs) return false;
        await sleep(100);
      }
    return true;
  }

  /** Sends a request and returns what its client is told; status 0 if there is no complete answer. */
  send(
    host,
    {
      path,
      authority,
      method = 'GET',
      deadlineMs = 2_000,
      key,
      body,
      agent = false,
      id,
    },
  ) {
    this.requests += 1;
    const requestId = id ?? `c${this.requests.toString(16).padStart(8, '0')}`;
    const sentAt = performance.now();
    return new Promise(resolve => {
      const finish = (status, headers = {}, text = '', error = '') =>
        resolve({
          id: requestId,
          key,
          host,
          sentAt,
          endedAt: performance.now(),
          status,
          headers,
          text,
          error,
        });
      const request = http.request(
        `http://${host.settings.listen.outbound}${path}`,
        {
          method,
          agent,
          headers: {
            host: authority,
            'request-id': requestId,
            'deadline-ms': deadlineMs,
            ...(key === undefined ? {} : {'shard-key': key}),
            ...(body === undefined
              ? {}
              : {'content-length': Buffer.byteLength(body)}),
          },
          signal: AbortSignal.timeout(deadlineMs + 500),
        },
        response => {
          const parts = [];
          response.on('data', part => parts.push(part));
          response.on('error', () => {});
          response.once('close', () => {
            const text = Buffer.concat(parts).toString();
            if (response.complete)
              finish(response.statusCode, response.headers, text);
            else finish(0, response.headers, text, 'cut');
          });
        },
      );
      request.once('error', error =>
        finish(0, {}, '', error.code ?? error.name),
      );
      request.end(body);
    });
  }

  readLog(host) {
    return readFileSync(host.log, 'utf8');
  }

  async stop() {
    for (const child of [...this.children]) {
      const exited = new Promise(resolve => child.once('exit', resolve));
      child.kill('SIGKILL');
      await exited;
    }
    for (const {server} of this.hosts) if (!server.isStopped) server.stop();
    this.store.stop();
    if (process.env.KEEP !== '1')
      rmSync(this.directory, {recursive: true, force: true});
  }
}

/** Builds a configuration in the form of the operator's. */
export function createConfig(version, routes, services) {
  return {
    version: version.toString(16).padStart(8, '0'),
    resources: [
      ...routes.map(({name, ...spec}) => ({
        res_type: 'routes',
        metadata: {name},
        spec,
      })),
      ...services.map(({name, ...spec}) => ({
        res_type: 'services',
        metadata: {name},
        spec: {health_path: '/health', max_conns: 110, ...spec},
      })),
      {
        res_type: 'limits',
        metadata: {name: 'limits'},
        spec: {
          max_header_bytes: 16384,
          max_body_bytes: 1048576,
          header_timeout_ms: 5000,
          idle_timeout_ms: 15000,
        },
      },
    ],
  };
}
