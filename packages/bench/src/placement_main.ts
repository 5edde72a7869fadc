/**
 * Compares slice placement with rendezvous hashing on the same seeded traffic, and measures the cost of
 * counting a request. `placement_main.js [--owners 5,50,410] [--seed N] [--json FILE]`.
 */
import {writeFileSync} from 'node:fs';

import sade from 'sade';

import {LoadMeter} from '@dottereldrift/ownership/load_meter.js';
import {createSlices, findSliceIndex} from '@dottereldrift/ownership/slices.js';

import {RendezvousPolicy, SlicePolicy} from './placement_policies.js';
import {
  runSimulation,
  type SimulationOptions,
  type SimulationResult,
} from './placement_simulation.js';
import {KeyTraffic} from './placement_traffic.js';

interface PlacementFlags {
  readonly owners: string;
  readonly seed: number;
  readonly json?: string;
}

const KEY_COUNT = 200_000;
const SMALL_FLEET_OWNERS = 5;
const MEDIUM_FLEET_OWNERS = 50;
const COUNTED_REQUESTS = 2_000_000;
const NS_PER_MS = 1e6;
const COLUMN_WIDTH = 11;
const NAME_WIDTH = 18;

sade('placement', true)
  .option('--owners', 'Numbers of owners, separated by commas', '5,50,410')
  .option('--seed', 'Seed of the traffic', 1)
  .option('--json', 'Output file for the results as JSON')
  .action((flags: PlacementFlags) => {
    measureAll(flags);
  })
  .parse(process.argv);

function measureAll(flags: PlacementFlags): void {
  const seed = Number(flags.seed);
  const costNs = measureCountingNs(seed);
  process.stdout.write(
    `Cost of counting a request: ${costNs.toFixed(0)} ns.\n${formatTitle()}\n`,
  );
  const results: SimulationResult[] = [];
  for (const size of String(flags.owners).split(',')) {
    const options = createOptions(Number(size), seed);
    const policies = [
      new RendezvousPolicy(),
      new SlicePolicy(false),
      new SlicePolicy(true),
    ];
    for (const policy of policies) {
      const result = runSimulation(policy, options);
      results.push(result);
      process.stdout.write(`${formatResult(result)}\n`);
    }
  }
  if (flags.json === undefined) return;
  writeFileSync(
    flags.json,
    `${JSON.stringify({seed, costNs, results}, undefined, 2)}\n`,
  );
}

/** Uses a flatter key distribution for larger fleets, so that one server can handle the hottest key. */
function createOptions(owners: number, seed: number): SimulationOptions {
  const base = {owners, keys: KEY_COUNT, seed};
  if (owners <= SMALL_FLEET_OWNERS)
    return {...base, exponent: 0.9, requestsPerOwnerSecond: 300};
  if (owners <= MEDIUM_FLEET_OWNERS)
    return {...base, exponent: 0.75, requestsPerOwnerSecond: 300};
  return {...base, exponent: 0.5, requestsPerOwnerSecond: 100};
}

/** Measures a slice lookup and a load count, which is the work that each request adds at its owner. */
function measureCountingNs(seed: number): number {
  const traffic = new KeyTraffic(KEY_COUNT, 0.9, seed);
  const owner = {host: 'h1', incarnation: 'a'};
  const slices = createSlices(64).map(slice => ({...slice, owner, token: 1}));
  const assignment = {service: 'menu', generation: 1, slices, writer: owner};
  const meter = new LoadMeter(0);
  meter.applyAssignment(assignment, owner, 0);
  const positions = Uint32Array.from(
    {length: COUNTED_REQUESTS},
    () => traffic.positions[traffic.drawKey()] ?? 0,
  );
  const startMs = performance.now();
  for (let index = 0; index < positions.length; index++) {
    const position = positions[index] ?? 0;
    const slice = slices[findSliceIndex(slices, position)];
    meter.addRequests(slice?.start ?? 0, position, 1, index / 10);
  }
  const elapsedMs = performance.now() - startMs;
  return (elapsedMs * NS_PER_MS) / COUNTED_REQUESTS;
}

function formatTitle(): string {
  return formatRow('placement', [
    'owners',
    'mean',
    'worst',
    'least',
    'moved',
    'needed',
    'moved/need',
    'moves',
    'slices',
    'plan ms',
  ]);
}

function formatResult(result: SimulationResult): string {
  return formatRow(result.policy, [
    String(result.owners),
    result.meanImbalance.toFixed(2),
    result.worstImbalance.toFixed(2),
    result.leastImbalance.toFixed(2),
    result.movedShare.toFixed(3),
    result.neededShare.toFixed(3),
    (result.movedShare / result.neededShare).toFixed(2),
    String(result.moves),
    String(result.slices),
    result.longestPlanMs.toFixed(1),
  ]);
}

function formatRow(name: string, cells: readonly string[]): string {
  const padded = cells.map(cell => cell.padStart(COLUMN_WIDTH));
  return `${name.padEnd(NAME_WIDTH)}${padded.join('')}`;
}
