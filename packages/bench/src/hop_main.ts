/**
 * Measures what a hop costs: a server alone, behind a bare fastify-to-undici hop, behind its owner's
 * daemon, and behind an entry and an owner, by key and by route. `hop_main.js [--seconds N]
 * [--connections N] [--rate N] [--ways TEXT]`. Each row gives requests a second, latency, and processor
 * time a request of every process on the way, without what these take at rest. With a rate, requests are sent at random
 * times at this rate: caches are cold then, and the loop is woken for each of them.
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
  /** Requests a second; as many as the connections carry when it is 0. */
  readonly rate: number;
  /** Text in the names of the ways to measure; all when it is empty. */
  readonly ways: string;
}

/** Requests whose cost is measured. */
interface HopRequest {
  readonly url: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** A way of requests to a server, with the processes on it. */
interface HopWay {
  readonly name: string;
  readonly request: HopRequest;
  readonly hops: readonly FleetProcess[];
  readonly server: FleetProcess;
}

/** One row of the table. */
interface HopRow {
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Processor time a request of the processes between caller and server, in microseconds. */
  readonly hopUs: number;
  readonly serverUs: number;
}

const TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;
const US_PER_SECOND = 1e6;
const WARM_UP_MS = 2_000;
/** Time for which processes are observed at rest. */
const REST_MS = 1_500;
const ROUTED_GOAL_MS = 200;
const DIRECT_PORT = 7191;
const BARE_PORT = 7192;
const MAX_KEYS_TRIED = 10_000;

sade('hop', true)
  .option('--seconds', 'How long each row is measured', 4)
  .option('--connections', 'Requests under way at a time', 32)
  .option('--rate', 'Requests a second, 0 for as many as are answered', 0)
  .option('--ways', 'Measure the ways that have this in their names', '')
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
  const extra: FleetProcess[] = [];
  try {
    await fleet.start();
    const [entry, owner] = fleet.hosts as [FleetHost, FleetHost];
    const direct = await startDirect(owner, extra);
    const bare = await startBare(owner, extra);
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
    const plain = {path: '/view', headers: {}};
    const ownerDaemon = fleet.getDaemon(owner);
    const both = [fleet.getDaemon(entry), ownerDaemon];
    const all = fleet.hosts.map(host => fleet.getDaemon(host));
    const server = fleet.getServer(owner);
    const ways: readonly HopWay[] = [
      {
        name: 'server alone',
        request: {...plain, url: direct.url},
        hops: [],
        server: direct.process,
      },
      {
        name: 'bare hop',
        request: {...plain, url: bare.url},
        hops: [bare.process],
        server: direct.process,
      },
      {name: 'owner', request: byPath(owner), hops: [ownerDaemon], server},
      {name: 'entry and owner', request: byPath(entry), hops: both, server},
      {
        name: 'routed, owner',
        request: byRoute(owner, 'menu'),
        hops: [ownerDaemon],
        server,
      },
      {
        name: 'routed, both',
        request: byRoute(entry, 'menu'),
        hops: both,
        server,
      },
      {
        name: 'routed, any host',
        request: byRoute(entry, 'rutas'),
        hops: all,
        server,
      },
    ];
    const rows: HopRow[] = [];
    for (const way of ways.filter(({name}) => name.includes(flags.ways)))
      rows.push(await measure(flags, way));
    printRows(rows);
  } finally {
    await Promise.all(extra.map(process => process.kill()));
    await fleet.stop();
    rmSync(directory, {recursive: true, force: true});
  }
}

/** Returns a service that is divided by key and one that is not, each with a route. */
function createRoutedDeployment(): Deployment {
  const full = findDeployment('bocadito');
  if (full === undefined) throw new Error('The deployment is missing.');
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

async function startDirect(host: FleetHost, extra: FleetProcess[]) {
  const main = fileURLToPath(new URL('fast_backend_main.js', import.meta.url));
  const process = new FleetProcess('direct', [
    main,
    'menu',
    host.ip,
    String(DIRECT_PORT),
  ]);
  extra.push(process);
  await process.waitForOutput('listening');
  return {process, url: `http://${host.ip}:${DIRECT_PORT}`};
}

async function startBare(host: FleetHost, extra: FleetProcess[]) {
  const main = fileURLToPath(new URL('bare_hop_main.js', import.meta.url));
  const target = `http://${host.ip}:${DIRECT_PORT}`;
  const process = new FleetProcess('bare', [
    main,
    host.ip,
    String(BARE_PORT),
    target,
  ]);
  extra.push(process);
  await process.waitForOutput('listening');
  return {process, url: `http://${host.ip}:${BARE_PORT}`};
}

async function findKey(fleet: Fleet, owner: FleetHost): Promise<string> {
  for (let number = 0; number < MAX_KEYS_TRIED; number++) {
    const key = `key-${number}-${hashKey(String(number))}`;
    const answer = await fleet.callOperator(
      owner,
      'GET',
      `/explain/menu/${key}`,
    );
    const {owner: found} = answer.value as {
      readonly owner?: {readonly host: string};
    };
    if (found?.host === owner.name) return key;
  }
  throw new Error('The owner has no keys.');
}

async function measure(
  flags: HopFlags,
  {name, request, hops, server}: HopWay,
): Promise<HopRow> {
  const pool = new Pool(request.url, {
    connections: Number(flags.connections),
    pipelining: 1,
  });
  const processes = [...hops, server];
  const rest = await measureSpent(processes, () => waitMs(REST_MS));
  await sendFor(pool, request, flags, WARM_UP_MS);
  const durationMs = Number(flags.seconds) * MS_PER_SECOND;
  const histogram = build({numberOfSignificantValueDigits: 3});
  const spent = await measureSpent(processes, () =>
    sendFor(pool, request, flags, durationMs, histogram),
  );
  await pool.close();
  const count = histogram.totalCount;
  const costs = processes.map((_, index) => {
    const restShare = (rest.cpuSeconds[index] ?? 0) / rest.seconds;
    return (spent.cpuSeconds[index] ?? 0) - restShare * spent.seconds;
  });
  const hopSeconds = costs.slice(0, -1).reduce((sum, value) => sum + value, 0);
  return {
    name,
    requestsPerSecond: Math.round(count / spent.seconds),
    p50Ms: histogram.getValueAtPercentile(50) / MS_PER_SECOND,
    p99Ms: histogram.getValueAtPercentile(99) / MS_PER_SECOND,
    hopUs: (hopSeconds * US_PER_SECOND) / count,
    serverUs: ((costs[costs.length - 1] ?? 0) * US_PER_SECOND) / count,
  };
}

/** What processes spent in a time. */
interface Spent {
  readonly seconds: number;
  /** Processor time of each process, in seconds. */
  readonly cpuSeconds: readonly number[];
}

async function measureSpent(
  processes: readonly FleetProcess[],
  work: () => Promise<void>,
): Promise<Spent> {
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

/** Sends requests for a time, one after the other on each connection or at the rate that is asked for. */
async function sendFor(
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
  const meanGapMs = MS_PER_SECOND / rate;
  for (let dueMs = performance.now(); dueMs < endMs;) {
    if (dueMs > performance.now()) await waitMs(1);
    while (dueMs <= performance.now()) {
      sent.push(send());
      dueMs -= Math.log(1 - Math.random()) * meanGapMs;
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
  const answer = await pool.request({method: 'GET', path, headers});
  await answer.body.dump();
  // A busy host may refuse some; what they cost counts, their latency does not.
  if (answer.statusCode !== 200) return;
  const tookUs = (performance.now() - startMs) * MS_PER_SECOND;
  histogram?.recordValue(Math.max(1, Math.round(tookUs)));
}

function waitMs(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** Reads the processor time of a process from the process table, in seconds. */
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
