/**
 * Measures what a hop costs: a server alone, behind a bare fastify-to-undici hop, behind its owner's
 * daemon, and behind an entry and an owner. `hop_main.js [--seconds N] [--connections N]`. Each row
 * gives requests a second, latency, and processor time a request of every process on the way.
 */
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {hashKey} from '@dottereldrift/core/ring_hash.js';
import {build} from 'hdr-histogram-js';
import sade from 'sade';
import {Pool} from 'undici';

import type {Deployment} from './deployments.js';
import {findDeployment} from './deployments.js';
import {Fleet, type FleetHost} from './fleet.js';
import {FleetProcess} from './processes.js';

interface HopFlags {
  readonly seconds: number;
  readonly connections: number;
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
const US_PER_SECOND = 1e6;
const WARM_UP_MS = 1_000;
const DIRECT_PORT = 7191;
const BARE_PORT = 7192;
const MAX_KEYS_TRIED = 10_000;

sade('hop', true)
  .option('--seconds', 'How long each row is measured', 4)
  .option('--connections', 'Requests under way at a time', 32)
  .action((flags: HopFlags) => measureHops(flags))
  .parse(process.argv);

async function measureHops(flags: HopFlags): Promise<void> {
  const directory = mkdtempSync(join(tmpdir(), 'dottereldrift-hop-'));
  const fleet = new Fleet({
    deployment: createPairDeployment(),
    directory,
    stragglerShare: 0,
    serverMain: fileURLToPath(new URL('fast_backend_main.js', import.meta.url)),
  });
  const extra: FleetProcess[] = [];
  try {
    await fleet.start();
    const [entry, owner] = fleet.hosts as [FleetHost, FleetHost];
    const direct = await startDirect(owner, extra);
    const bare = await startBare(owner, extra);
    const path = `/services/menu/keys/${await findKey(fleet, owner)}/view`;
    const server = fleet.getServer(owner);
    const rows = [
      await measure(
        flags,
        'server alone',
        direct.url,
        '/view',
        [],
        direct.process,
      ),
      await measure(
        flags,
        'bare hop',
        bare.url,
        '/view',
        [bare.process],
        direct.process,
      ),
      await measure(
        flags,
        'owner',
        fleet.getCallerUrl(owner),
        path,
        [fleet.getDaemon(owner)],
        server,
      ),
      await measure(
        flags,
        'entry and owner',
        fleet.getCallerUrl(entry),
        path,
        [fleet.getDaemon(entry), fleet.getDaemon(owner)],
        server,
      ),
    ];
    printRows(rows);
  } finally {
    await Promise.all(extra.map(process => process.kill()));
    await fleet.stop();
    rmSync(directory, {recursive: true, force: true});
  }
}

function createPairDeployment(): Deployment {
  const full = findDeployment('bocadito');
  if (full === undefined) throw new Error('The deployment is missing.');
  const services = [{service: 'menu', servers: 3, serviceMs: 0}];
  return {...full, services};
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
  name: string,
  url: string,
  path: string,
  hops: readonly FleetProcess[],
  server: FleetProcess,
): Promise<HopRow> {
  const pool = new Pool(url, {
    connections: Number(flags.connections),
    pipelining: 1,
  });
  await sendFor(pool, path, Number(flags.connections), WARM_UP_MS);
  const before = [...hops, server].map(readCpuSeconds);
  const startMs = performance.now();
  const histogram = await sendFor(
    pool,
    path,
    Number(flags.connections),
    Number(flags.seconds) * 1_000,
  );
  const seconds = (performance.now() - startMs) / 1_000;
  const spent = [...hops, server].map(
    (process, index) => readCpuSeconds(process) - (before[index] ?? 0),
  );
  await pool.close();
  const count = histogram.totalCount;
  const hopSeconds = spent.slice(0, -1).reduce((sum, value) => sum + value, 0);
  return {
    name,
    requestsPerSecond: Math.round(count / seconds),
    p50Ms: histogram.getValueAtPercentile(50) / 1_000,
    p99Ms: histogram.getValueAtPercentile(99) / 1_000,
    hopUs: (hopSeconds * US_PER_SECOND) / count,
    serverUs: ((spent[spent.length - 1] ?? 0) * US_PER_SECOND) / count,
  };
}

async function sendFor(
  pool: Pool,
  path: string,
  workers: number,
  durationMs: number,
) {
  const histogram = build({numberOfSignificantValueDigits: 3});
  const endMs = performance.now() + durationMs;
  const work = async () => {
    while (performance.now() < endMs) {
      const startMs = performance.now();
      const answer = await pool.request({method: 'GET', path});
      await answer.body.dump();
      if (answer.statusCode !== 200)
        throw new Error(`status ${answer.statusCode}`);
      histogram.recordValue(
        Math.max(1, Math.round((performance.now() - startMs) * 1_000)),
      );
    }
  };
  await Promise.all(Array.from({length: workers}, work));
  return histogram;
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
