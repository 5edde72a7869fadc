/**
 * Duplicates of non-idempotent requests on real processes: each request is sent twice at the same time while
 * servers and daemons are killed and suspended. The outcomes that callers get are compared with the runs
 * that the servers recorded.
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
import {findOwnerViolations} from '../src/violations.js';

const WORKERS = 8;
const KEYS = 60;
const REQUEST_TIMEOUT_MS = 3_000;
const DEADLINE_MS = 2_000;

interface ReportedOutcome {
  readonly requestId: string;
  readonly outcome: Outcome;
  readonly isOwnAnswer: boolean;
  /** Code of the response, or the error of the connection. */
  readonly reason: string;
}

function createSmallDeployment(): Deployment {
  const full = findDeployment('bocadito');
  if (full === undefined)
    throw new Error('The deployment bocadito is not defined.');
  const services = full.services.filter(plan => plan.service === 'menu');
  const traffic = full.traffic.filter(plan => plan.service === 'menu');
  const {menu} = full.manifest.services;
  if (menu === undefined) throw new Error('The service menu is not defined.');
  return {...full, services, traffic, manifest: {services: {menu}}};
}

interface RequestResult {
  readonly outcome: Outcome;
  readonly text: string;
  readonly reason: string;
}

/** Sends every request twice at the same time, through two daemons or a daemon and the client library. */
class DuplicateLoad {
  readonly reported: ReportedOutcome[] = [];
  private readonly agent = new Agent({connections: 64, pipelining: 1});
  private readonly client: RouterClient;
  private sentPairs = 0;
  private finishedPairs = 0;
  private isStopped = false;
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

  /** Waits until the given number of further pairs has been answered. */
  async waitForPairs(count: number): Promise<void> {
    const target = this.finishedPairs + count;
    await this.fleet.waitUntil(() =>
      Promise.resolve(this.finishedPairs >= target),
    );
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.running);
    await this.agent.destroy();
    await this.client.close();
  }

  private async runPairs(): Promise<void> {
    while (!this.isStopped) {
      this.sentPairs += 1;
      const number = this.sentPairs;
      const second =
        number % 3 === 0 ? undefined : this.getHost(number * 3 + 1);
      await Promise.all([
        this.sendCopy(number, 'a', this.getHost(number)),
        this.sendCopy(number, 'b', second),
      ]);
      this.finishedPairs += 1;
    }
  }

  private getHost(number: number): FleetHost | undefined {
    return this.hosts[number % this.hosts.length];
  }

  /** Sends a copy to a host's daemon, or through the client library if no host is given. */
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
        ? await this.sendThroughClient(key, idempotencyKey, headers)
        : await this.sendToDaemon(host, key, idempotencyKey, headers);
    const isOwnAnswer =
      outcome !== 'completed' || text.includes(`"pair-${number}-`);
    this.reported.push({requestId, outcome, isOwnAnswer, reason});
  }

  private async sendThroughClient(
    key: string,
    idempotencyKey: string,
    headers: Readonly<Record<string, string>>,
  ): Promise<RequestResult> {
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

  private async sendToDaemon(
    host: FleetHost,
    key: string,
    idempotencyKey: string,
    headers: Readonly<Record<string, string>>,
  ): Promise<RequestResult> {
    try {
      const response = await this.agent.request({
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
      const text = await response.body.text();
      const outcome = response.headers['dottereldrift-outcome'] ?? 'unknown';
      const reason = String(response.headers['dottereldrift-code'] ?? '');
      return {outcome: outcome as Outcome, text, reason};
    } catch (error) {
      const isRefused =
        (error as {readonly code?: string}).code === 'ECONNREFUSED';
      const outcome = isRefused ? 'not-run' : 'unknown';
      return {outcome, text: '', reason: String(error)};
    }
  }
}

function findInconsistencies(
  reported: readonly ReportedOutcome[],
  records: readonly RunRecord[],
): readonly string[] {
  const runs = countBy(records.map(record => record.requestId));
  const keyRuns = countBy(
    records.map(record => `${record.key} ${record.idempotencyKey}`),
  );
  const duplicateRuns = [...keyRuns]
    .filter(([, count]) => count > 1)
    .map(([name, count]) => `${name} ran ${count} times`);
  const falseNotRun = reported
    .filter(
      ({outcome, requestId}) => outcome === 'not-run' && runs.has(requestId),
    )
    .map(({requestId}) => `${requestId} ran, but was reported not-run`);
  const mismatchedAnswers = reported
    .filter(({isOwnAnswer}) => !isOwnAnswer)
    .map(
      ({requestId}) => `${requestId} received the response to another request`,
    );
  const owners = findOwnerViolations(records).map(({detail}) => detail);
  return [...duplicateRuns, ...falseNotRun, ...mismatchedAnswers, ...owners];
}

function countBy(names: readonly string[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1);
  return counts;
}

test('duplicates run at most once, and not-run is correct, while servers and daemons are killed', async t => {
  const directory = mkdtempSync(join(tmpdir(), 'dottereldrift-test-'));
  const fleet = new Fleet({
    deployment: createSmallDeployment(),
    directory,
    stragglerShare: 0,
  });
  const load = new DuplicateLoad(fleet, fleet.hosts);
  const [killedServer, killedDaemon, paused] = fleet.hosts;
  if (
    killedServer === undefined ||
    killedDaemon === undefined ||
    paused === undefined
  )
    throw new Error('The fleet has fewer than three hosts.');
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
    const counts = countBy(load.reported.map(({outcome}) => outcome));
    const reasons = load.reported.map(
      result => `${result.outcome} ${result.reason}`,
    );
    t.log(Object.fromEntries(countBy(reasons)));
    t.deepEqual(findInconsistencies(load.reported, fleet.readRecords()), []);
    t.true((counts.get('completed') ?? 0) > 1_000);
    t.deepEqual(fleet.getExitedOutputs(), []);
  } finally {
    await load.stop();
    await fleet.stop();
    rmSync(directory, {recursive: true, force: true});
  }
});
