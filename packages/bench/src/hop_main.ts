/**
 * Measures the cost of a hop: a server alone, behind a bare fastify-to-undici proxy, behind its owner's
 * daemon, and behind an entry and an owner, addressed by key and by route. `hop_main.js [--seconds N]
 * [--connections N] [--rate N] [--ways TEXT]`. Each row gives requests per second, latency, and the processor
 * time per request of the processes on the request path, less their idle consumption. With a rate, requests
 * arrive at random times at that rate, so that caches are cold and each request wakes the event loop.
 */
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {assertDefined} from '@dottereldrift/core/assert.js';
import {hashKey} from '@dottereldrift/core/ring_hash.js';
import {build, type Histogram} from 'hdr-histogram-js';
import sade from 'sade';
import {Pool} from 'undici';

import type {Deployment} from './deployments.js';
import {findDeployment} from './deployments.js';
import {Fleet, type FleetHost} from './fleet.js';
import {FleetProcess} from './processes.js';
import {KEY_HEADER, ROUTED_HOST, ROUTED_PORT} from './routed_names.js';

interface HopFlags {
  readonly seconds: number;
  readonly connections: number;
  /** Requests per second; 0 sends as many as the connections allow. */
  readonly rate: number;
  /** Selects the request paths whose names contain this text; empty selects all. */
  readonly ways: string;
}

/** The request that is sent repeatedly in a measurement. */
interface HopRequest {
  readonly url: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** A path of requests to a server, with the processes on it. */
interface RequestPath {
  readonly name: string;
  readonly request: HopRequest;
  readonly hops: readonly FleetProcess[];
  readonly server: FleetProcess;
}

/** The measurements of one request path. */
interface HopRow {
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Processor time per request of the processes between caller and server, in microseconds. */
  readonly hopUs: number;
  readonly serverUs: number;
}

const TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;
const US_PER_SECOND = 1e6;
const WARM_UP_MS = 2_000;
/** Duration of the measurement of idle processor time. */
const IDLE_MS = 1_500;
const ROUTED_GOAL_MS = 200;
const DIRECT_PORT = 7191;
const BARE_PORT = 7192;
const MAX_KEY_ATTEMPTS = 10_000;

sade('hop', true)
  .option('--seconds', 'Duration of each measurement in seconds', 4)
  .option('--connections', 'Number of concurrent connections', 32)
  .option('--rate', 'Requests per second; 0 for the highest possible rate', 0)
  .option('--ways', 'Measure only the rows whose names contain this text', '')
  .action((flags: HopFlags) => measureHops(flags))
  .parse(process.argv);

async function measureHops(flags: HopFlags): Promise<void> {
  const directory = mkdtempSync(join(tmpdir(), 'dottereldrift-hop-'));
  const fleet = new Fleet({
    deployment: createRoutedDeployment(),
    directory,
    stragglerShare: 0,
    serverMain: fileURLToPath(new URL('fast_backend_main.js', import.meta.url)),
    daemonMain: fileURLToPath(
      new URL('routed_daemon_main.js', import.meta.url),
    ),
  });
  const extraProcesses: FleetProcess[] = [];
  try {
    await fleet.start();
    const [entry, owner] = fleet.hosts as [FleetHost, FleetHost];
    const direct = await startDirectServer(owner, extraProcesses);
    const bareHop = await startBareHop(owner, extraProcesses);
    const key = await findKey(fleet, owner);
    const path = `/services/menu/keys/${key}/view`;
    const byPath = (host: FleetHost): HopRequest => ({
      url: fleet.getCallerUrl(host),
      path,
      headers: {},
    });
    const byRoute = (host: FleetHost, service: string): HopRequest => ({
      url: `http://${host.ip}:${ROUTED_PORT}`,
      path: `/${service}/view`,
      headers: {host: ROUTED_HOST, [KEY_HEADER]: key},
    });
    const directRequest = {path: '/view', headers: {}};
    const ownerDaemon = fleet.getDaemon(owner);
    const entryAndOwner = [fleet.getDaemon(entry), ownerDaemon];
    const allDaemons = fleet.hosts.map(host => fleet.getDaemon(host));
    const server = fleet.getServer(owner);
    const requestPaths: readonly RequestPath[] = [
      {
        name: 'server alone',
        request: {...directRequest, url: direct.url},
        hops: [],
        server: direct.process,
      },
      {
        name: 'bare hop',
        request: {...directRequest, url: bareHop.url},
        hops: [bareHop.process],
        server: direct.process,
      },
      {name: 'owner', request: byPath(owner), hops: [ownerDaemon], server},
      {
        name: 'entry and owner',
        request: byPath(entry),
        hops: entryAndOwner,
        server,
      },
      {
        name: 'routed, owner',
        request: byRoute(owner, 'menu'),
        hops: [ownerDaemon],
        server,
      },
      {
        name: 'routed, both',
        request: byRoute(entry, 'menu'),
        hops: entryAndOwner,
        server,
      },
      {
        name: 'routed, any host',
        request: byRoute(entry, 'rutas'),
        hops: allDaemons,
        server,
      },
    ];
    const rows: HopRow[] = [];
    for (const requestPath of requestPaths.filter(({name}) =>
      name.includes(flags.ways),
    ))
      rows.push(await measurePath(flags, requestPath));
    printRows(rows);
  } finally {
    await Promise.all(extraProcesses.map(process => process.kill()));
    await fleet.stop();
    rmSync(directory, {recursive: true, force: true});
  }
}

/** Creates a deployment with one service divided by key and one undivided service, each with a route. */
function createRoutedDeployment(): Deployment {
  const full = findDeployment('bocadito');
  if (full === undefined)
    throw new Error('The deployment bocadito is not defined.');
  const {manifest} = full;
  const services = [
    {service: 'menu', servers: 3, serviceMs: 0},
    {service: 'rutas', servers: 2, serviceMs: 0},
  ];
  const rules = services.flatMap(({service}) => {
    const found = manifest.services[service];
    return found === undefined ? [] : [[service, found] as const];
  });
  const routes = rules.map(([service, {kinds}]) => ({
    name: service,
    host: ROUTED_HOST,
    pathPrefix: `/${service}/`,
    goalMs: ROUTED_GOAL_MS,
    kind: assertDefined(kinds[0], 'The service has kinds.'),
    parts: [{service, weight: 1}],
  }));
  const routed = {...manifest, services: Object.fromEntries(rules), routes};
  return {...full, services, manifest: routed};
}

async function startDirectServer(
  host: FleetHost,
  extraProcesses: FleetProcess[],
) {
  const main = fileURLToPath(new URL('fast_backend_main.js', import.meta.url));
  const process = new FleetProcess('direct', [
    main,
    'menu',
    host.ip,
    String(DIRECT_PORT),
  ]);
  extraProcesses.push(process);
  await process.waitForOutput('listening');
  return {process, url: `http://${host.ip}:${DIRECT_PORT}`};
}

async function startBareHop(host: FleetHost, extraProcesses: FleetProcess[]) {
  const main = fileURLToPath(new URL('bare_hop_main.js', import.meta.url));
  const target = `http://${host.ip}:${DIRECT_PORT}`;
  const process = new FleetProcess('bare', [
    main,
    host.ip,
    String(BARE_PORT),
    target,
  ]);
  extraProcesses.push(process);
  await process.waitForOutput('listening');
  return {process, url: `http://${host.ip}:${BARE_PORT}`};
}

async function findKey(fleet: Fleet, owner: FleetHost): Promise<string> {
  for (let number = 0; number < MAX_KEY_ATTEMPTS; number++) {
    const key = `key-${number}-${hashKey(String(number))}`;
    const response = await fleet.callOperator(
      owner,
      'GET',
      `/explain/menu/${key}`,
    );
    const {owner: found} = response.value as {
      readonly owner?: {readonly host: string};
    };
    if (found?.host === owner.name) return key;
  }
  throw new Error('No key of the owner was found.');
}

async function measurePath(
  flags: HopFlags,
  {name, request, hops, server}: RequestPath,
): Promise<HopRow> {
  const pool = new Pool(request.url, {
    connections: Number(flags.connections),
    pipelining: 1,
  });
  const processes = [...hops, server];
  const idleUsage = await measureCpuUsage(processes, () => waitForMs(IDLE_MS));
  await sendForDuration(pool, request, flags, WARM_UP_MS);
  const durationMs = Number(flags.seconds) * MS_PER_SECOND;
  const histogram = build({numberOfSignificantValueDigits: 3});
  const usage = await measureCpuUsage(processes, () =>
    sendForDuration(pool, request, flags, durationMs, histogram),
  );
  await pool.close();
  const count = histogram.totalCount;
  const costs = processes.map((_, index) => {
    const idleCpuShare = (idleUsage.cpuSeconds[index] ?? 0) / idleUsage.seconds;
    return (usage.cpuSeconds[index] ?? 0) - idleCpuShare * usage.seconds;
  });
  const hopSeconds = costs.slice(0, -1).reduce((sum, value) => sum + value, 0);
  return {
    name,
    requestsPerSecond: Math.round(count / usage.seconds),
    p50Ms: histogram.getValueAtPercentile(50) / MS_PER_SECOND,
    p99Ms: histogram.getValueAtPercentile(99) / MS_PER_SECOND,
    hopUs: (hopSeconds * US_PER_SECOND) / count,
    serverUs: ((costs[costs.length - 1] ?? 0) * US_PER_SECOND) / count,
  };
}

/** Processor time that processes used during an interval. */
interface CpuUsage {
  /** Length of the interval. */
  readonly seconds: number;
  /** Processor time of each process, in seconds. */
  readonly cpuSeconds: readonly number[];
}

async function measureCpuUsage(
  processes: readonly FleetProcess[],
  work: () => Promise<void>,
): Promise<CpuUsage> {
  const before = processes.map(readCpuSeconds);
  const startMs = performance.now();
  await work();
  return {
    seconds: (performance.now() - startMs) / MS_PER_SECOND,
    cpuSeconds: processes.map(
      (process, index) => readCpuSeconds(process) - (before[index] ?? 0),
    ),
  };
}

/** Sends requests for a duration, back to back on each connection or at the requested rate. */
async function sendForDuration(
  pool: Pool,
  request: HopRequest,
  {connections, rate}: HopFlags,
  durationMs: number,
  histogram?: Histogram,
): Promise<void> {
  const endMs = performance.now() + durationMs;
  const send = () => sendOne(pool, request, histogram);
  if (Number(rate) > 0) return sendAtRate(send, Number(rate), endMs);
  const work = async () => {
    while (performance.now() < endMs) await send();
  };
  await Promise.all(Array.from({length: Number(connections)}, work));
}

async function sendAtRate(
  send: () => Promise<void>,
  rate: number,
  endMs: number,
): Promise<void> {
  const sent: Array<Promise<void>> = [];
  const meanIntervalMs = MS_PER_SECOND / rate;
  for (let dueMs = performance.now(); dueMs < endMs;) {
    if (dueMs > performance.now()) await waitForMs(1);
    while (dueMs <= performance.now()) {
      sent.push(send());
      dueMs -= Math.log(1 - Math.random()) * meanIntervalMs;
    }
  }
  await Promise.all(sent);
}

async function sendOne(
  pool: Pool,
  {path, headers}: HopRequest,
  histogram: Histogram | undefined,
): Promise<void> {
  const startMs = performance.now();
  const response = await pool.request({method: 'GET', path, headers});
  await response.body.dump();
  // Refused requests count towards processor time but not towards latency.
  if (response.statusCode !== 200) return;
  const latencyUs = (performance.now() - startMs) * MS_PER_SECOND;
  histogram?.recordValue(Math.max(1, Math.round(latencyUs)));
}

function waitForMs(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** Reads the processor time of a process from /proc, in seconds. */
function readCpuSeconds(process: FleetProcess): number {
  const text = readFileSync(`/proc/${process.getPid()}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

function printRows(rows: readonly HopRow[]): void {
  const bareUs = rows.find(row => row.name === 'bare hop')?.hopUs ?? NaN;
  const cells = rows.map(row => [
    row.name.padEnd(16),
    String(row.requestsPerSecond).padStart(8),
    row.p50Ms.toFixed(2).padStart(8),
    row.p99Ms.toFixed(2).padStart(8),
    row.hopUs.toFixed(0).padStart(8),
    (row.hopUs / bareUs).toFixed(2).padStart(8),
    row.serverUs.toFixed(0).padStart(10),
  ]);
  const title = [
    'way'.padEnd(16),
    'req/s'.padStart(8),
    'p50 ms'.padStart(8),
    'p99 ms'.padStart(8),
  ];
  const rest = [
    'hop us'.padStart(8),
    'to bare'.padStart(8),
    'server us'.padStart(10),
  ];
  process.stdout.write(`${[...title, ...rest].join('')}\n`);
  for (const row of cells) process.stdout.write(`${row.join('')}\n`);
}
