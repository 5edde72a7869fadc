/**
 * The demonstration: a deployment's day as separate processes on loopback, under mixed load, judged
 * by the servers' records. `demo_main.js [--deployment NAME] [--seconds N] [--rate N] [--seed N]`.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import sade from 'sade';

import {findDeployment} from './deployments.js';
import {Fleet} from './fleet.js';
import {findViolations} from './judge.js';
import {LoadGenerator} from './load.js';
import {formatCodes, formatImbalance, formatResults} from './summary.js';

interface DemoFlags {
  readonly deployment: string;
  readonly seconds: number;
  readonly rate: number;
  readonly seed: number;
}

const PROGRESS_INTERVAL_MS = 1_000;
const KEYS = 2_000;
const MAX_SHOWN_VIOLATIONS = 10;

sade('demo', true)
  .option('--deployment', 'bocadito or samlag', 'bocadito')
  .option('--seconds', 'How long the load lasts', 20)
  .option('--rate', 'Requests a second', 300)
  .option('--seed', 'Seed of the load', 1)
  .action((flags: DemoFlags) => runDemo(flags))
  .parse(process.argv);

async function runDemo(flags: DemoFlags): Promise<void> {
  const deployment = findDeployment(flags.deployment);
  if (deployment === undefined) {
    process.stderr.write(
      `Unknown deployment ${flags.deployment}: bocadito or samlag.\n`,
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
      `Starting ${fleet.hosts.length} daemons and as many servers.\n`,
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
    keys: KEYS,
  });
  const progress = setInterval(() => {
    const results = generator.getResults();
    const completed = results.filter(
      result => result.outcome === 'completed',
    ).length;
    process.stdout.write(
      `answered ${results.length}, completed ${completed}, under way ${generator.getUnderWay()}\n`,
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
    `${keys.size} keys served, broken promises: ${violations.length}\n`,
  );
  for (const {promise, detail} of violations.slice(0, MAX_SHOWN_VIOLATIONS)) {
    process.stdout.write(`${promise}: ${detail}\n`);
  }
  const lastWords = fleet.getLastWords();
  for (const words of lastWords) process.stdout.write(`${words}\n`);
  return violations.length + lastWords.length;
}
