/**
 * Measures the control-plane cost of each daemon, with every daemon reading the store directly and with
 * relays: store calls and bytes per second, while idle and during configuration changes.
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

/** Totals over all daemons of a fleet for one measurement interval. */
interface ControlCost {
  readonly storeCalls: number;
  readonly storeWrites: number;
  readonly storeBytes: number;
  readonly relayBytes: number;
  /** Relay bytes sent by the daemon that sent the most. */
  readonly mostRelayBytes: number;
}

interface CostResult {
  readonly daemons: number;
  readonly isRelayed: boolean;
  readonly restSeconds: number;
  readonly rest: ControlCost;
  readonly changes: number;
  readonly changing: ControlCost;
  /** Longest time until every daemon had applied a configuration change. */
  readonly slowestChangeMs: number;
}

const MS_PER_SECOND = 1_000;
const CHANGE_SETTLE_MS = 500;
const START_SETTLE_MS = 3_000;
const BASE_DAEMON_COUNT = 14;
const COLUMN_WIDTH = 12;

sade('control_cost', true)
  .option('--daemons', 'Numbers of daemons, separated by commas', '14,28,56')
  .option('--seconds', 'Duration of the idle measurement in seconds', 10)
  .option('--changes', 'Number of configuration changes', 5)
  .option('--json', 'Output file for the results as JSON')
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
  const deployment = createScaledDeployment(daemons);
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
    const beforeIdle = await readStatuses(fleet);
    await waitForMs(restSeconds * MS_PER_SECOND);
    const afterIdle = await readStatuses(fleet);
    const changes = Number(flags.changes);
    const slowestChangeMs = await applyChanges(fleet, deployment, changes);
    const afterChanges = await readStatuses(fleet);
    const rest = sumCost(beforeIdle, afterIdle);
    const changing = sumCost(afterIdle, afterChanges);
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

/** Scales the servers of the first deployment so that the fleet has the given number of daemons. */
function createScaledDeployment(daemons: number): Deployment {
  const base = findDeployment('bocadito');
  if (base === undefined)
    throw new Error('The deployment bocadito is not defined.');
  const factor = daemons / BASE_DAEMON_COUNT;
  const services = base.services.map(plan => ({
    ...plan,
    servers: plan.servers * factor,
  }));
  return {...base, services};
}

/** Submits changes one at a time; returns the longest time until all daemons had applied one. */
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

async function readStatuses(fleet: Fleet): Promise<readonly ControlStatus[]> {
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
