/**
 * Outcomes on real processes: requests that are not idempotent are sent to two daemons at once while
 * servers and daemons are killed and paused, and the servers' records tell what really ran.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import test from 'ava';
import {Agent} from 'undici';

import {RouterClient} from '@dottereldrift/client/router_client.js';
import type {Outcome} from '@dottereldrift/core/types.js';
import type {RunRecord} from '@dottereldrift/standins/backend_server.js';

import {type Deployment, findDeployment} from '../src/deployments.js';
import {Fleet, type FleetHost} from '../src/fleet.js';
import {findOwnerViolations} from '../src/judge.js';

const WORKERS = 8;
const KEYS = 60;
const REQUEST_TIMEOUT_MS = 3_000;
const DEADLINE_MS = 2_000;

interface Told {
  readonly requestId: string;
  readonly outcome: Outcome;
  readonly isOwnAnswer: boolean;
  /** What told it: the code of a message, or how the connection failed. */
  readonly reason: string;
}

function createSmallDeployment(): Deployment {
  const full = findDeployment('bocadito');
  if (full === undefined) throw new Error('The deployment is missing.');
  const services = full.services.filter(plan => plan.service === 'menu');
  const traffic = full.traffic.filter(plan => plan.service === 'menu');
  const {menu} = full.manifest.services;
  if (menu === undefined) throw new Error('The service is missing.');
  return {...full, services, traffic, manifest: {services: {menu}}};
}

interface CopyResult {
  readonly outcome: Outcome;
  readonly text: string;
  readonly reason: string;
}

/** Sends every request twice at the same moment, by two ways. */
class PairLoad {
  readonly told: Told[] = [];
  private readonly agent = new Agent({connections: 64, pipelining: 1});
  private readonly client: RouterClient;
  private sent = 0;
  private finished = 0;
  private isOver = false;
  private running: Array<Promise<void>> = [];

  constructor(
    private readonly fleet: Fleet,
    private readonly hosts: readonly FleetHost[],
  ) {
    const seeds = hosts.map(host =>
      fleet.getCallerUrl(host).slice('http://'.length),
    );
    this.client = new RouterClient({seeds});
  }

  start(): void {
    this.running = Array.from({length: WORKERS}, () => this.runPairs());
  }

  /** Waits until so many more pairs have been answered. */
  async waitForPairs(count: number): Promise<void> {
    const target = this.finished + count;
    await this.fleet.waitUntil(() => Promise.resolve(this.finished >= target));
  }

  async stop(): Promise<void> {
    this.isOver = true;
    await Promise.all(this.running);
    await this.agent.destroy();
    await this.client.close();
  }

  private async runPairs(): Promise<void> {
    while (!this.isOver) {
      this.sent += 1;
      const number = this.sent;
      const second =
        number % 3 === 0 ? undefined : this.getHost(number * 3 + 1);
      await Promise.all([
        this.sendCopy(number, 'a', this.getHost(number)),
        this.sendCopy(number, 'b', second),
      ]);
      this.finished += 1;
    }
  }

  private getHost(number: number): FleetHost | undefined {
    return this.hosts[number % this.hosts.length];
  }

  /** Sends a copy to a host's daemon, or through the client when there is no host. */
  private async sendCopy(
    number: number,
    copy: string,
    host: FleetHost | undefined,
  ): Promise<void> {
    const requestId = `pair-${number}-${copy}`;
    const key = `floor-${number % KEYS}`;
    const idempotencyKey = `once-${number}`;
    const headers = {
      'request-id': requestId,
      'request-key': key,
    };
    const {outcome, text, reason} =
      host === undefined
        ? await this.sendByClient(key, idempotencyKey, headers)
        : await this.sendTo(host, key, idempotencyKey, headers);
    const isOwnAnswer =
      outcome !== 'completed' || text.includes(`"pair-${number}-`);
    this.told.push({requestId, outcome, isOwnAnswer, reason});
  }

  private async sendByClient(
    key: string,
    idempotencyKey: string,
    headers: Readonly<Record<string, string>>,
  ): Promise<CopyResult> {
    const result = await this.client.send({
      service: 'menu',
      key,
      path: '/change',
      method: 'POST',
      headers,
      body: '{}',
      idempotencyKey,
      deadlineMs: DEADLINE_MS,
    });
    const text =
      result.outcome === 'completed'
        ? Buffer.from(result.body).toString()
        : result.text;
    const reason =
      result.outcome === 'completed' ? '' : `client ${result.code}`;
    return {outcome: result.outcome, text, reason};
  }

  private async sendTo(
    host: FleetHost,
    key: string,
    idempotencyKey: string,
    headers: Readonly<Record<string, string>>,
  ): Promise<CopyResult> {
    try {
      const answer = await this.agent.request({
        origin: this.fleet.getCallerUrl(host),
        path: `/services/menu/keys/${key}/change`,
        method: 'POST',
        headers: {
          ...headers,
          'idempotency-key': idempotencyKey,
          'request-first-sent-unix-ms': String(Date.now()),
          'request-deadline-ms': String(DEADLINE_MS),
        },
        body: '{}',
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const text = await answer.body.text();
      const outcome = answer.headers['dottereldrift-outcome'] ?? 'unknown';
      const reason = String(answer.headers['dottereldrift-code'] ?? '');
      return {outcome: outcome as Outcome, text, reason};
    } catch (error) {
      const isRefused =
        (error as {readonly code?: string}).code === 'ECONNREFUSED';
      const outcome = isRefused ? 'not-run' : 'unknown';
      return {outcome, text: '', reason: String(error)};
    }
  }
}

function findFaults(
  told: readonly Told[],
  records: readonly RunRecord[],
): readonly string[] {
  const runs = countBy(records.map(record => record.requestId));
  const keyRuns = countBy(
    records.map(record => `${record.key} ${record.idempotencyKey}`),
  );
  const twice = [...keyRuns]
    .filter(([, count]) => count > 1)
    .map(([name, count]) => `${name} ran ${count} times`);
  const untrue = told
    .filter(
      ({outcome, requestId}) => outcome === 'not-run' && runs.has(requestId),
    )
    .map(({requestId}) => `${requestId} ran, and was told not-run`);
  const foreign = told
    .filter(({isOwnAnswer}) => !isOwnAnswer)
    .map(({requestId}) => `${requestId} got another's answer`);
  const owners = findOwnerViolations(records).map(({detail}) => detail);
  return [...twice, ...untrue, ...foreign, ...owners];
}

function countBy(names: readonly string[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1);
  return counts;
}

test('duplicates run at most once, and not-run is true, while servers and daemons die', async t => {
  const directory = mkdtempSync(join(tmpdir(), 'dottereldrift-test-'));
  const fleet = new Fleet({
    deployment: createSmallDeployment(),
    directory,
    stragglerShare: 0,
  });
  const load = new PairLoad(fleet, fleet.hosts);
  const [killedServer, killedDaemon, paused] = fleet.hosts;
  if (
    killedServer === undefined ||
    killedDaemon === undefined ||
    paused === undefined
  )
    throw new Error('The fleet is too small.');
  try {
    await fleet.start();
    load.start();
    await load.waitForPairs(150);
    await fleet.getServer(killedServer).kill();
    await load.waitForPairs(150);
    await fleet.startServer(killedServer);
    await fleet.getDaemon(killedDaemon).kill();
    await load.waitForPairs(150);
    await fleet.startDaemon(killedDaemon);
    fleet.getDaemon(paused).signal('SIGSTOP');
    await load.waitForPairs(60);
    fleet.getDaemon(paused).signal('SIGCONT');
    await load.waitForPairs(150);
    await load.stop();
    const counts = countBy(load.told.map(({outcome}) => outcome));
    const reasons = load.told.map(told => `${told.outcome} ${told.reason}`);
    t.log(Object.fromEntries(countBy(reasons)));
    t.deepEqual(findFaults(load.told, fleet.readRecords()), []);
    t.true((counts.get('completed') ?? 0) > 1_000);
    t.deepEqual(fleet.getLastWords(), []);
  } finally {
    await load.stop();
    await fleet.stop();
    rmSync(directory, {recursive: true, force: true});
  }
});
