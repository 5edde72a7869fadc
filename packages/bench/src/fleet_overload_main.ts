/**
 * Compares the slot policies on real processes: three menu servers under loads from half to five times
 * their capacity. `fleet_overload_main.js [--seconds N] [--seed N]`.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import sade from 'sade';

import type {SlotPolicyName} from '@dottereldrift/limits/slot_policies.js';

import {type Deployment, findDeployment} from './deployments.js';
import {Fleet} from './fleet.js';
import {findViolations} from './violations.js';
import {LoadGenerator, type LoadResult} from './load.js';
import {createHistogram, formatCodes, getPercentileMs} from './summary.js';

interface Flags {
  readonly seconds: number;
  readonly seed: number;
}

const SERVER_COUNT = 3;
/** Long enough that the servers' slots are the bottleneck, and not the processor of this host. */
const SERVICE_MS = 60;
const LOADS = [0.5, 1, 2, 5];
const KEY_COUNT = 2_000;
const MS_PER_SECOND = 1_000;
const LEASE_POLL_INTERVAL_MS = 200;

sade('fleet-overload', true)
  .option('--seconds', 'Duration of each load in seconds', 4)
  .option('--seed', 'Seed of the load generator', 1)
  .action((flags: Flags) => runAll(flags))
  .parse(process.argv);

async function runAll(flags: Flags): Promise<void> {
  let violations = 0;
  for (const policy of ['fifo', 'adaptive'] as const)
    violations += await runPolicy(policy, flags);
  process.exitCode = violations === 0 ? 0 : 1;
}

async function runPolicy(
  slotPolicy: SlotPolicyName,
  flags: Flags,
): Promise<number> {
  const deployment = createDeployment();
  const directory = mkdtempSync(join(tmpdir(), 'dottereldrift-overload-'));
  const fleet = new Fleet({
    deployment,
    directory,
    stragglerShare: 0,
    slotPolicy,
  });
  try {
    await fleet.start();
    const results: LoadResult[] = [];
    for (const load of LOADS)
      results.push(...(await runLoad(fleet, deployment, load, flags)));
    const violations = findViolations(results, fleet.readRecords());
    process.stdout.write(`${slotPolicy}: violations: ${violations.length}\n`);
    return violations.length;
  } finally {
    await fleet.stop();
    rmSync(directory, {recursive: true, force: true});
  }
}

async function runLoad(
  fleet: Fleet,
  deployment: Deployment,
  load: number,
  flags: Flags,
): Promise<readonly LoadResult[]> {
  const capacity =
    (SERVER_COUNT * deployment.slots * MS_PER_SECOND) / SERVICE_MS;
  const durationMs = Number(flags.seconds) * MS_PER_SECOND;
  const generator = new LoadGenerator({
    deployment,
    targets: fleet.hosts.map(host => fleet.getCallerUrl(host)),
    requestsPerSecond: capacity * load,
    durationMs,
    seed: Number(flags.seed) + load * LOADS.length,
    keys: KEY_COUNT,
  });
  const lapses = new LeaseLapseCounter(fleet);
  lapses.start();
  const results = await generator.run();
  await lapses.stop();
  printLoad(results, load, (capacity * durationMs) / MS_PER_SECOND, lapses);
  return results;
}

/** Polls the daemons' status and counts how often one did not hold its lease. */
class LeaseLapseCounter {
  private lapses = 0;
  private checks = 0;
  private isStopped = false;
  private running: Promise<void> = Promise.resolve();

  constructor(private readonly fleet: Fleet) {}

  start(): void {
    this.running = this.watch();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await this.running;
  }

  toString(): string {
    return `${this.lapses} of ${this.checks}`;
  }

  private async watch(): Promise<void> {
    while (!this.isStopped) {
      for (const host of this.fleet.hosts) {
        const status = await this.fleet.getStatus(host);
        this.checks += 1;
        if (!status.isLeaseHeld) this.lapses += 1;
      }
      await new Promise(resolve => setTimeout(resolve, LEASE_POLL_INTERVAL_MS));
    }
  }
}

function printLoad(
  results: readonly LoadResult[],
  load: number,
  capacityRequests: number,
  lapses: LeaseLapseCounter,
): void {
  const completed = results.filter(result => result.outcome === 'completed');
  const histogram = createHistogram(results);
  const goodput = completed.length / capacityRequests;
  const p50 = getPercentileMs(histogram, 50).toFixed(0);
  const p99 = getPercentileMs(histogram, 99).toFixed(0);
  const codes = formatCodes(results).replace(/\n/g, ', ');
  process.stdout.write(
    `${load}x: sent ${results.length}, completed ${goodput.toFixed(2)} of capacity, p50 ${p50} ms, p99 ${p99} ms, lapses ${String(lapses)}; ${codes}\n`,
  );
}

function createDeployment(): Deployment {
  const full = findDeployment('bocadito');
  if (full === undefined)
    throw new Error('The deployment bocadito is not defined.');
  const services = full.services
    .filter(plan => plan.service === 'menu')
    .map(plan => ({...plan, servers: SERVER_COUNT, serviceMs: SERVICE_MS}));
  const traffic = full.traffic.filter(
    plan => plan.service === 'menu' && plan.kind === 'read',
  );
  return {...full, services, traffic};
}
