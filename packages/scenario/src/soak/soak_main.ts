/**
 * Command line of the soak test: runs a number of seeds and prints the result of each.
 */
import {parseArgs} from 'node:util';

import {FAULT_KINDS, type FaultKind} from './fault_plan.js';
import {MAX_UNAVAILABLE_MS, runSoak, type SoakResult} from './soak_run.js';

const DEFAULT_SEEDS = 50;

async function main(): Promise<void> {
  const {values} = parseArgs({
    options: {
      seeds: {type: 'string', default: String(DEFAULT_SEEDS)},
      first: {type: 'string', default: '1'},
      hosts: {type: 'string', default: '6'},
      plain: {type: 'string', default: '0'},
      kinds: {type: 'string'},
      trace: {type: 'boolean', default: false},
    },
  });
  const first = Number(values.first);
  const hosts = Number(values.hosts);
  const unkeyedHosts = Number(values.plain);
  const kinds = values.kinds?.split(',').map(parseKind);
  let failed = 0;
  for (let seed = first; seed < first + Number(values.seeds); seed++) {
    const result = await runSoak({seed, hosts, unkeyedHosts, kinds});
    if (values.trace) process.stdout.write(`${result.trace.join('\n')}\n`);
    process.stdout.write(`${formatResult(result)}\n`);
    if (!isPassed(result)) failed += 1;
  }
  process.stdout.write(`${values.seeds} seeds, ${failed} failed\n`);
  process.exitCode = failed > 0 ? 1 : 0;
}

function parseKind(text: string): FaultKind {
  const kind = FAULT_KINDS.find(other => other === text);
  if (kind === undefined)
    throw new Error(
      `Unknown fault kind ${text}; expected one of ${FAULT_KINDS.join(', ')}`,
    );
  return kind;
}

function isPassed({violations, unavailableMs}: SoakResult): boolean {
  return violations.length === 0 && unavailableMs < MAX_UNAVAILABLE_MS;
}

function formatResult(result: SoakResult): string {
  const {seed, unavailableMs, acquisitionCount, sent, completed, violations} =
    result;
  const figures = `unavailable ${unavailableMs} ms, ${acquisitionCount} acquisitions, ${completed} of ${sent} completed`;
  return [`seed ${seed}: ${figures}`, ...violations.slice(0, 5)].join('\n  ');
}

await main();
