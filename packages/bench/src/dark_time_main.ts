/**
 * Measures how long keys are unavailable after the loss of their owner, as a distribution for each kind
 * of loss. A loss is over when another owner has answered a request for every key of the lost owner.
 * `dark_time_main.js [--losses N] [--kinds host,daemon,...] [--json FILE]`.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import sade from 'sade';
import {request} from 'undici';

import {type Deployment, findDeployment} from './deployments.js';
import {Fleet, type FleetHost} from './fleet.js';
import {formatTable} from './text_table.js';

interface UnavailabilityFlags {
  readonly losses: number;
  readonly kinds: string;
  readonly json: string;
}

/** A kind of loss, with functions that cause it and repair it. */
interface LossKind {
  readonly name: string;
  readonly inject: (fleet: Fleet, victim: FleetHost) => Promise<void>;
  readonly repair: (fleet: Fleet, victim: FleetHost) => Promise<void>;
}

interface LossResult {
  readonly kind: string;
  /** For each key, the time from the loss to the first response from another owner. */
  readonly keyDarkMs: readonly number[];
}

const SERVICE = 'menu';
const KEY_COUNT = 60;
const PROBE_INTERVAL_MS = 10;
const PROBE_TIMEOUT_MS = 700;
const UNAVAILABILITY_LIMIT_MS = 5_000;
const MAX_PROBE_MS = 30_000;

const LOSS_KINDS: readonly LossKind[] = [
  {
    name: 'host',
    inject: async (fleet, victim) => {
      await Promise.all([
        fleet.getDaemon(victim).kill(),
        fleet.getServer(victim).kill(),
      ]);
    },
    repair: async (fleet, victim) => {
      await fleet.startDaemon(victim);
      await fleet.startServer(victim);
    },
  },
  {
    name: 'daemon',
    inject: (fleet, victim) => fleet.getDaemon(victim).kill(),
    repair: async (fleet, victim) => {
      await fleet.startDaemon(victim);
    },
  },
  {
    name: 'server',
    inject: (fleet, victim) => fleet.getServer(victim).kill(),
    repair: async (fleet, victim) => {
      await fleet.startServer(victim);
    },
  },
  createFreezeKind('daemon frozen', (fleet, victim) => fleet.getDaemon(victim)),
  createFreezeKind('server frozen', (fleet, victim) => fleet.getServer(victim)),
];

sade('dark_time', true)
  .option('--losses', 'Number of losses of each kind', 10)
  .option('--kinds', 'Kinds of loss, separated by commas; all if empty', '')
  .option('--json', 'Output file for the results as JSON', '')
  .action((flags: UnavailabilityFlags) => measureAll(flags))
  .parse(process.argv);

async function measureAll(flags: UnavailabilityFlags): Promise<void> {
  const names = flags.kinds === '' ? [] : flags.kinds.split(',');
  const kinds = LOSS_KINDS.filter(
    kind => names.length === 0 || names.includes(kind.name),
  );
  const deployment = createSmallDeployment();
  const directory = mkdtempSync(join(tmpdir(), 'dottereldrift-dark-'));
  const fleet = new Fleet({deployment, directory, stragglerShare: 0});
  const results: LossResult[] = [];
  try {
    await fleet.start();
    for (let loss = 0; loss < Number(flags.losses); loss++) {
      for (const kind of kinds) {
        const victim = fleet.hosts[loss % fleet.hosts.length] as FleetHost;
        results.push(await measureLoss(fleet, kind, victim));
      }
    }
  } catch (error) {
    process.stderr.write(`${fleet.getExitedOutputs().join('\n')}\n`);
    throw error;
  } finally {
    await fleet.stop();
    rmSync(directory, {recursive: true, force: true});
  }
  process.stdout.write(`${formatResults(kinds, results)}\n`);
  if (flags.json !== '')
    writeFileSync(flags.json, JSON.stringify(results, undefined, 2));
}

async function measureLoss(
  fleet: Fleet,
  kind: LossKind,
  victim: FleetHost,
): Promise<LossResult> {
  const keys = await findKeys(fleet, victim);
  const startMs = performance.now();
  await kind.inject(fleet, victim);
  const keyDarkMs = await Promise.all(
    keys.map(key => waitForOtherOwner(fleet, victim, key, startMs)),
  );
  await kind.repair(fleet, victim);
  await fleet.waitUntil(async () => {
    const {services} = await fleet.getStatus(victim);
    return services.some(service => service.ownedSlices > 0);
  });
  await fleet.waitUntil(
    async () => (await findKeys(fleet, victim)).length >= KEY_COUNT / 20,
  );
  const longest = Math.max(...keyDarkMs).toFixed(0);
  process.stderr.write(`${kind.name} ${victim.name}: ${longest} ms\n`);
  return {kind: kind.name, keyDarkMs};
}

/** Returns the probed keys that a host serves. */
async function findKeys(
  fleet: Fleet,
  victim: FleetHost,
): Promise<readonly string[]> {
  const keys = Array.from({length: KEY_COUNT}, (_, index) => `key-${index}`);
  const owners = await Promise.all(
    keys.map((key, index) => {
      const entry = fleet.hosts[index % fleet.hosts.length] as FleetHost;
      return tryProbe(fleet, entry, key);
    }),
  );
  return keys.filter((_, index) => owners[index] === victim.name);
}

async function waitForOtherOwner(
  fleet: Fleet,
  victim: FleetHost,
  key: string,
  startMs: number,
): Promise<number> {
  const entries = fleet.hosts.filter(host => host !== victim);
  for (let attempt = 0; ; attempt++) {
    const entry = entries[attempt % entries.length] as FleetHost;
    const owner = await tryProbe(fleet, entry, key);
    const unavailableMs = performance.now() - startMs;
    if (owner !== undefined && owner !== victim.name) return unavailableMs;
    if (unavailableMs > MAX_PROBE_MS) return Infinity;
    await new Promise(resolve => setTimeout(resolve, PROBE_INTERVAL_MS));
  }
}

/** Sends a request for a key; returns the host whose server ran it, or undefined if it did not complete. */
async function tryProbe(
  fleet: Fleet,
  entry: FleetHost,
  key: string,
): Promise<string | undefined> {
  try {
    const url = `${fleet.getCallerUrl(entry)}/services/${SERVICE}/keys/${key}/view`;
    const response = await request(url, {
      headers: {'request-id': key, 'request-key': key},
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    const text = await response.body.text();
    if (response.headers['dottereldrift-outcome'] !== 'completed')
      return undefined;
    return (JSON.parse(text) as {readonly host: string}).host;
  } catch {
    return undefined;
  }
}

function createFreezeKind(
  name: string,
  getProcess: (
    fleet: Fleet,
    victim: FleetHost,
  ) => {readonly signal: (signal: NodeJS.Signals) => void},
): LossKind {
  return {
    name,
    inject: (fleet, victim) => {
      getProcess(fleet, victim).signal('SIGSTOP');
      return Promise.resolve();
    },
    repair: (fleet, victim) => {
      getProcess(fleet, victim).signal('SIGCONT');
      return Promise.resolve();
    },
  };
}

function createSmallDeployment(): Deployment {
  const full = findDeployment('bocadito');
  const rules = full?.manifest.services[SERVICE];
  if (full === undefined || rules === undefined)
    throw new Error('The deployment bocadito or its service is not defined.');
  return {
    ...full,
    services: full.services.filter(plan => plan.service === SERVICE),
    traffic: full.traffic.filter(plan => plan.service === SERVICE),
    manifest: {services: {[SERVICE]: {...rules, slicesPerServer: 16}}},
  };
}

function formatResults(
  kinds: readonly LossKind[],
  results: readonly LossResult[],
): string {
  const rows = kinds.map(kind => {
    const losses = results.filter(result => result.kind === kind.name);
    const longest = losses
      .map(loss => Math.max(...loss.keyDarkMs))
      .sort((a, b) => a - b);
    const keys = losses.flatMap(loss => loss.keyDarkMs).sort((a, b) => a - b);
    return [
      kind.name,
      String(losses.length),
      String(keys.length),
      findMedian(keys).toFixed(0),
      findMedian(longest).toFixed(0),
      (longest[longest.length - 1] ?? 0).toFixed(0),
      String(keys.filter(ms => ms > UNAVAILABILITY_LIMIT_MS).length),
    ];
  });
  const head = [
    'loss',
    'losses',
    'keys',
    'p50 of keys, ms',
    'p50 of losses, ms',
    'max, ms',
    `keys over ${UNAVAILABILITY_LIMIT_MS} ms`,
  ];
  return formatTable([head, ...rows]);
}

function findMedian(sorted: readonly number[]): number {
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
