/**
 * Measures what control costs each daemon, with every daemon following the store itself and with
 * relays: store calls a second and bytes a second, at rest and under changes of configuration.
 * `control_cost_main.js [--daemons 14,28,56] [--seconds N] [--changes N] [--json FILE]`.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import sade from 'sade';

import type {ControlStatus} from '@dottereldrift/daemon/status.js';

import {type Deployment, findDeployment} from './deployments.js';
import {Fleet} from './fleet.js';

interface CostFlags {
  readonly daemons: string;
  readonly seconds: number;
  readonly changes: number;
  readonly json?: string;
}

/** Sums over the daemons of a fleet, for a stretch of time. */
interface ControlCost {
  readonly storeCalls: number;
  readonly storeWrites: number;
  readonly storeBytes: number;
  readonly relayBytes: number;
  /** Relay bytes sent by the daemon that sent most. */
  readonly mostRelayBytes: number;
}

interface CostResult {
  readonly daemons: number;
  readonly isRelayed: boolean;
  readonly restSeconds: number;
  readonly rest: ControlCost;
  readonly changes: number;
  readonly changing: ControlCost;
  /** Longest time until every daemon had a change. */
  readonly slowestChangeMs: number;
}

const MS_PER_SECOND = 1_000;
const CHANGE_SETTLE_MS = 500;
const START_SETTLE_MS = 3_000;
const BASE_DAEMONS = 14;
const COLUMN_WIDTH = 12;

sade('control_cost', true)
  .option('--daemons', 'Sizes of the fleet', '14,28,56')
  .option('--seconds', 'Time at rest', 10)
  .option('--changes', 'Changes of configuration', 5)
  .option('--json', 'File for the results')
  .action((flags: CostFlags) => measureAll(flags))
  .parse(process.argv);

async function measureAll(flags: CostFlags): Promise<void> {
  process.stdout.write(`${formatTitle()}\n`);
  const results: CostResult[] = [];
  for (const size of String(flags.daemons).split(',')) {
    for (const isRelayed of [false, true]) {
      const result = await measureFleet(Number(size), isRelayed, flags);
      results.push(result);
      process.stdout.write(`${formatResult(result)}\n`);
    }
  }
  if (flags.json === undefined) return;
  writeFileSync(flags.json, `${JSON.stringify(results, undefined, 2)}\n`);
}

async function measureFleet(
  daemons: number,
  isRelayed: boolean,
  flags: CostFlags,
): Promise<CostResult> {
  const directory = mkdtempSync(join(tmpdir(), 'dottereldrift-cost-'));
  const deployment = createDeployment(daemons);
  const fleet = new Fleet({
    deployment,
    directory,
    stragglerShare: 0,
    isRelayed,
  });
  try {
    await fleet.start();
    await waitForMs(START_SETTLE_MS);
    const restSeconds = Number(flags.seconds);
    const first = await readAll(fleet);
    await waitForMs(restSeconds * MS_PER_SECOND);
    const second = await readAll(fleet);
    const changes = Number(flags.changes);
    const slowestChangeMs = await applyChanges(fleet, deployment, changes);
    const third = await readAll(fleet);
    const rest = sumCost(first, second);
    const changing = sumCost(second, third);
    return {
      daemons,
      isRelayed,
      restSeconds,
      rest,
      changes,
      changing,
      slowestChangeMs,
    };
  } finally {
    await fleet.stop();
    rmSync(directory, {recursive: true, force: true});
  }
}

/** Multiplies the servers of the first deployment. */
function createDeployment(daemons: number): Deployment {
  const base = findDeployment('bocadito');
  if (base === undefined) throw new Error('The deployment is missing.');
  const factor = daemons / BASE_DAEMONS;
  const services = base.services.map(plan => ({
    ...plan,
    servers: plan.servers * factor,
  }));
  return {...base, services};
}

/** Applies changes one after the other; returns the longest time until all daemons had one. */
async function applyChanges(
  fleet: Fleet,
  deployment: Deployment,
  changes: number,
): Promise<number> {
  let slowestMs = 0;
  for (let change = 1; change <= changes; change++) {
    const services = Object.entries(deployment.manifest.services).map(
      ([name, rules]) => [name, {...rules, maxQueued: 300 + change}] as const,
    );
    const startMs = performance.now();
    await fleet.submitManifest({services: Object.fromEntries(services)});
    await fleet.waitUntil(async () => {
      const statuses = await Promise.all(
        fleet.hosts.map(host => fleet.getStatus(host)),
      );
      return statuses.every(status => status.manifestGeneration === change + 1);
    });
    slowestMs = Math.max(slowestMs, performance.now() - startMs);
    await waitForMs(CHANGE_SETTLE_MS);
  }
  return slowestMs;
}

async function readAll(fleet: Fleet): Promise<readonly ControlStatus[]> {
  const statuses = await Promise.all(
    fleet.hosts.map(host => fleet.getStatus(host)),
  );
  return statuses.map(status => status.control);
}

function sumCost(
  before: readonly ControlStatus[],
  after: readonly ControlStatus[],
): ControlCost {
  const sum = (name: keyof ControlStatus) =>
    after.reduce(
      (total, status, index) =>
        total + Number(status[name]) - Number(before[index]?.[name] ?? 0),
      0,
    );
  const sent = after.map(
    (status, index) =>
      status.relayBytesSent - (before[index]?.relayBytesSent ?? 0),
  );
  return {
    storeCalls: sum('storeCalls'),
    storeWrites: sum('storeWrites'),
    storeBytes: sum('storeBytes'),
    relayBytes: sum('relayBytesSent') + sum('relayBytesReceived'),
    mostRelayBytes: Math.max(...sent),
  };
}

function formatTitle(): string {
  return formatRow([
    'form',
    'daemons',
    'calls/s',
    'writes/s',
    'B/s each',
    'top B/s',
    'calls/chg',
    'B/chg each',
    'top B/chg',
    'slowest ms',
  ]);
}

function formatResult(result: CostResult): string {
  const {daemons, rest, changing, restSeconds, changes} = result;
  const restBytes = rest.storeBytes + rest.relayBytes;
  const changeBytes = changing.storeBytes + changing.relayBytes;
  return formatRow([
    result.isRelayed ? 'relayed' : 'flat',
    String(daemons),
    (rest.storeCalls / restSeconds).toFixed(1),
    (rest.storeWrites / restSeconds).toFixed(1),
    (restBytes / restSeconds / daemons).toFixed(0),
    (rest.mostRelayBytes / restSeconds).toFixed(0),
    (changing.storeCalls / changes).toFixed(0),
    (changeBytes / changes / daemons).toFixed(0),
    (changing.mostRelayBytes / changes).toFixed(0),
    result.slowestChangeMs.toFixed(0),
  ]);
}

function formatRow(cells: readonly string[]): string {
  return cells.map(cell => cell.padStart(COLUMN_WIDTH)).join('');
}

function waitForMs(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
