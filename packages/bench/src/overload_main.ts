/**
 * Compares slot policies in the overload model:
 * `overload_main.js run [--all] [--seed N] [--json FILE] [--csv FILE]` prints a table;
 * `overload_main.js compare BEFORE.json AFTER.json [--html FILE]` compares two runs.
 */
import {readFileSync, writeFileSync} from 'node:fs';

import sade from 'sade';

import {type Bar, formatBars} from './bar_chart.js';
import {
  EXPERIMENTS,
  type OverloadRow,
  runExperiment,
} from './overload_experiments.js';
import {
  formatComparison,
  formatCsv,
  formatRowName,
  formatRows,
  matchRows,
  type RowPair,
} from './overload_output.js';
import {MAIN_POLICIES, POLICIES} from './overload_policies.js';

interface RunFlags {
  readonly all?: boolean;
  readonly experiment?: string;
  readonly seed: number;
  readonly json?: string;
  readonly csv?: string;
}

interface CompareFlags {
  readonly html?: string;
}

const SLOT_COUNTS = [6, 9];
const BEFORE_COLOR = '#9aa5b1';
const AFTER_COLOR = '#1f6feb';

const program = sade('overload');
program
  .command('run')
  .option(
    '--all',
    'Also run the adaptive policy with each feature alone and with each one disabled',
  )
  .option(
    '--experiment',
    'Run only the experiments whose names begin with this text',
  )
  .option('--seed', 'Seed of the arrivals and service times', 1)
  .option('--json', 'Output file for the rows as JSON')
  .option('--csv', 'Output file for the rows as CSV')
  .action((flags: RunFlags) => {
    runAll(flags);
  });
program
  .command('compare <before> <after>')
  .option('--html', 'Output file for an HTML page with bar charts')
  .action((before: string, after: string, flags: CompareFlags) => {
    compareRuns(before, after, flags);
  });
program.parse(process.argv);

function runAll(flags: RunFlags): void {
  const policies = POLICIES.filter(
    policy => flags.all === true || MAIN_POLICIES.has(policy.name),
  );
  const experiments = EXPERIMENTS.filter(({name}) =>
    name.startsWith(flags.experiment ?? ''),
  );
  const rows = SLOT_COUNTS.flatMap(slots =>
    experiments.flatMap(experiment =>
      policies.map(policy =>
        runExperiment(experiment, policy, slots, Number(flags.seed)),
      ),
    ),
  );
  process.stdout.write(`${formatRows(rows)}\n`);
  if (flags.json !== undefined)
    writeFileSync(flags.json, JSON.stringify(rows, undefined, 1));
  if (flags.csv !== undefined) writeFileSync(flags.csv, formatCsv(rows));
}

function compareRuns(
  beforePath: string,
  afterPath: string,
  flags: CompareFlags,
): void {
  const pairs = matchRows(readRows(beforePath), readRows(afterPath));
  process.stdout.write(`${formatComparison(pairs)}\n`);
  if (flags.html !== undefined) writeFileSync(flags.html, formatPage(pairs));
}

function readRows(path: string): readonly OverloadRow[] {
  return JSON.parse(readFileSync(path, 'utf8')) as readonly OverloadRow[];
}

function formatPage(pairs: readonly RowPair[]): string {
  const charts = [
    formatBars(
      'Goodput, share of capacity',
      createBars(pairs, row => row.goodput),
    ),
    formatBars(
      'p99 of short work, ms',
      createBars(pairs, row => row.shortP99Ms),
    ),
    formatBars(
      'Refused, share of requests',
      createBars(pairs, row => row.refused),
    ),
  ];
  const head = '<meta charset="utf-8"><title>Overload: two runs</title>';
  const legend = '<p>Grey: before. Blue: after.</p>';
  return `<!doctype html>\n<html lang="en"><head>${head}</head><body>\n<h1>Overload: two runs</h1>\n${legend}\n${charts.join('\n')}\n</body></html>\n`;
}

function createBars(
  pairs: readonly RowPair[],
  getValue: (row: OverloadRow) => number,
): readonly Bar[] {
  return pairs.flatMap(({before, after}) => [
    {
      label: formatRowName(before),
      value: getValue(before),
      color: BEFORE_COLOR,
    },
    {label: '', value: getValue(after), color: AFTER_COLOR},
  ]);
}
