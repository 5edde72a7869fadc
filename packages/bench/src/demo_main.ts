/**
 * Runs a deployment as separate processes on loopback under mixed load, and checks the result against the
 * servers' run records. `demo_main.js [--deployment NAME] [--seconds N] [--rate N] [--seed N]`.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import sade from 'sade';

import {findDeployment} from './deployments.js';
import {Fleet} from './fleet.js';
import {findViolations} from './violations.js';
import {LoadGenerator} from './load.js';
import {formatCodes, formatImbalance, formatResults} from './summary.js';

interface DemoFlags {
  readonly deployment: string;
  readonly seconds: number;
  readonly rate: number;
  readonly seed: number;
}

const PROGRESS_INTERVAL_MS = 1_000;
const KEY_COUNT = 2_000;
const MAX_SHOWN_VIOLATIONS = 10;

sade('demo', true)
  .option('--deployment', 'Deployment to run: bocadito or samlag', 'bocadito')
  .option('--seconds', 'Duration of the load in seconds', 20)
  .option('--rate', 'Requests per second', 300)
  .option('--seed', 'Seed of the load generator', 1)
  .action((flags: DemoFlags) => runDemo(flags))
  .parse(process.argv);

async function runDemo(flags: DemoFlags): Promise<void> {
  const deployment = findDeployment(flags.deployment);
  if (deployment === undefined) {
    process.stderr.write(
      `Unknown deployment ${flags.deployment}; expected bocadito or samlag.\n`,
    );
    process.exitCode = 2;
    return;
  }
  const directory = mkdtempSync(join(tmpdir(), 'dottereldrift-demo-'));
  const fleet = new Fleet({
    deployment,
    directory,
    stragglerShare: 0.01,
  });
  try {
    process.stdout.write(
      `Starting ${fleet.hosts.length} daemons and the same number of servers.\n`,
    );
    await fleet.start();
    const violations = await runLoad(fleet, flags);
    process.exitCode = violations === 0 ? 0 : 1;
  } finally {
    await fleet.stop();
    rmSync(directory, {recursive: true, force: true});
  }
}

async function runLoad(fleet: Fleet, flags: DemoFlags): Promise<number> {
  const deployment = findDeployment(flags.deployment);
  if (deployment === undefined) return 0;
  const generator = new LoadGenerator({
    deployment,
    targets: fleet.hosts.map(host => fleet.getCallerUrl(host)),
    requestsPerSecond: Number(flags.rate),
    durationMs: Number(flags.seconds) * 1_000,
    seed: Number(flags.seed),
    keys: KEY_COUNT,
  });
  const progress = setInterval(() => {
    const results = generator.getResults();
    const completed = results.filter(
      result => result.outcome === 'completed',
    ).length;
    process.stdout.write(
      `answered ${results.length}, completed ${completed}, in flight ${generator.getInFlight()}\n`,
    );
  }, PROGRESS_INTERVAL_MS);
  const results = await generator.run();
  clearInterval(progress);
  const records = fleet.readRecords();
  const violations = findViolations(results, records);
  process.stdout.write(
    `\n${formatResults(results)}\n\n${formatImbalance(records)}\n\n`,
  );
  const codes = formatCodes(results);
  if (codes !== '') process.stdout.write(`${codes}\n\n`);
  const keys = new Set(
    records.filter(record => record.key !== '').map(record => record.key),
  );
  process.stdout.write(
    `${keys.size} keys served, violations: ${violations.length}\n`,
  );
  for (const {promise, detail} of violations.slice(0, MAX_SHOWN_VIOLATIONS)) {
    process.stdout.write(`${promise}: ${detail}\n`);
  }
  const exitedOutputs = fleet.getExitedOutputs();
  for (const output of exitedOutputs) process.stdout.write(`${output}\n`);
  return violations.length + exitedOutputs.length;
}
