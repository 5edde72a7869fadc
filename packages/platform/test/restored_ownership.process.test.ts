/**
 * The store returns from an older copy that lacks moves of keys, while five real daemons divide the keys of a
 * service among their servers. No two servers may hold a key, and its tokens may not go down.
 */
import test, {type ExecutionContext} from 'ava';

import {KeyRecords, SAMPLED_KEYS} from './key_records.js';
import {KeyedServer} from './keyed_server.js';
import {PlatformFleet} from './platform_fleet.js';
import {StoreDrill, waitFor} from './store_drill.js';

const SERVICE = 'menu';
const HOSTS = 5;
const GRACE_S = 6;
const GRACE_MS = 6_000;
const DIVIDE_LIMIT_MS = 20_000;
const POLL_MS = 50;
const START_MS = 1_000;
/** Time until a server that joined has keys. */
const SETTLE_MS = 3_500;
const AWAY_MS = 1_000;
const COPY_AGE_MS = 3_000;
const MAX_COPY_AGE_MS = 10_000;
/** Above the bound on the time of a key without a server. */
const OBSERVE_MS = 6_000;
/** Time after which a server that no key is given to counts as left out: 4 s, and 4 s in which others are used. */
const USE_LIMIT_MS = 8_000;
const SEND_INTERVAL_MS = 10;
/** Visits the keys in turn without a common factor with their number. */
const KEY_STEP = 7;
const WORK_MS = 5;
const DEADLINE_MS = 1_000;
/** Time within which a key has a server again, as the operators set it. */
const MAX_GAP_MS = 5_000;
const SHORT_MS = 300;
/** Time from the end of a daemon until its keys have moved, and half a second. */
const TAKEOVER_MS = 3_500;
const OK = 200;

/** A fleet of servers that hold keys, under requests. */
class KeyedDrill {
  readonly records = new KeyRecords();
  readonly servers: KeyedServer[] = [];
  readonly fleet = new PlatformFleet({
    hasEra: true,
    createKeyedServer: service => {
      const server = new KeyedServer(service, this.records);
      this.servers.push(server);
      return server;
    },
  });
  readonly store = new StoreDrill(this.fleet.store);
  private readonly away = new Set<number>();
  private isStopped = false;
  private traffic: Promise<void> = Promise.resolve();

  async start(): Promise<void> {
    this.store.startWriter();
    const services = Array.from({length: HOSTS}, () => SERVICE);
    await this.fleet.start(services, GRACE_S);
    const endMs = performance.now() + DIVIDE_LIMIT_MS;
    while (!this.records.isComplete(performance.now())) {
      if (performance.now() > endMs) throw new Error('A key has no server.');
      await waitFor(POLL_MS);
    }
    this.traffic = this.sendTraffic();
    await waitFor(START_MS);
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    this.store.stop();
    await this.traffic;
    await this.fleet.stop();
  }

  async kill(hostIndex: number): Promise<void> {
    this.away.add(hostIndex);
    await this.fleet.killDaemon(hostIndex);
  }

  restart(hostIndex: number): void {
    this.fleet.restartDaemon(hostIndex);
    this.away.delete(hostIndex);
  }

  /** Lets the store be away and return without what was written after a time. */
  async dropSince(sinceMs: number): Promise<void> {
    const copyAgeMs = performance.now() - sinceMs;
    if (copyAgeMs > MAX_COPY_AGE_MS) throw new Error('The copy is too old.');
    await this.store.restartStore(AWAY_MS, copyAgeMs);
  }

  /** Takes a host out of service: its server leaves, then its daemon stops. */
  async removeHost(hostIndex: number): Promise<void> {
    await this.servers[hostIndex]?.drain();
    this.away.add(hostIndex);
    await this.fleet.stopDaemon(hostIndex, GRACE_MS);
  }

  /** Lists the hosts whose daemon runs and is not ready. */
  async listNotReady(): Promise<readonly number[]> {
    const running = this.fleet.hosts.filter(({index}) => !this.away.has(index));
    const ready = await Promise.all(
      running.map(({index}) => this.fleet.isReady(index)),
    );
    return running
      .filter((_, position) => ready[position] !== true)
      .map(({index}) => index);
  }

  /** Lists the hosts whose daemon runs and whose server holds no key. */
  listUnused(): readonly number[] {
    const holders = this.records.listHolders(performance.now());
    return this.fleet.hosts
      .map(({index}) => index)
      .filter(index => !this.away.has(index))
      .filter(index => !holders.includes(this.servers[index]?.id ?? ''));
  }

  private async sendTraffic(): Promise<void> {
    const sent: Array<Promise<unknown>> = [];
    for (let count = 0; !this.isStopped; count += 1) {
      const hostIndex = count % this.fleet.hosts.length;
      const key = SAMPLED_KEYS[(count * KEY_STEP) % SAMPLED_KEYS.length] ?? 0;
      const options = {service: SERVICE, workMs: WORK_MS, key};
      if (!this.away.has(hostIndex))
        sent.push(
          this.fleet.send(hostIndex, {...options, deadlineMs: DEADLINE_MS}),
        );
      await waitFor(SEND_INTERVAL_MS);
    }
    await Promise.all(sent);
  }
}

async function startDrill(t: ExecutionContext): Promise<KeyedDrill> {
  const drill = new KeyedDrill();
  t.teardown(() => drill.stop());
  await drill.start();
  return drill;
}

/**
 * Watches the fleet for a time. Expects no key with two servers, no token that goes down, no key without a server for
 * long, and no daemon that is not ready in the end.
 */
async function expectOwned(
  t: ExecutionContext,
  drill: KeyedDrill,
  lostSinceMs: number,
  sinceMs = performance.now(),
): Promise<void> {
  const {records, fleet} = drill;
  const returnedAtMs = performance.now();
  await waitFor(OBSERVE_MS);
  const nowMs = performance.now();
  const gapMs = Math.round(records.computeLongestGapMs(sinceMs, nowMs));
  const late = fleet.answers.filter(({sentAtMs}) => sentAtMs > sinceMs);
  const served = late.filter(({status}) => status === OK).length;
  t.log(
    `longest time of a key without a server: ${gapMs} ms; served ${served} of ${late.length}`,
  );
  t.log(
    `keys whose move was lost: ${records.countMoves(lostSinceMs, returnedAtMs)}, that moved after the return: ${records.countMoves(returnedAtMs, nowMs)}`,
  );
  t.log(`holders: ${records.formatHolders(nowMs)}`);
  const faults = records.listFaults();
  const notReady = await drill.listNotReady();
  t.log(`daemons that are not ready: ${notReady.join(', ')}`);
  const isBroken = faults.length > 0 || notReady.length > 0;
  if (isBroken || gapMs > MAX_GAP_MS) t.log(fleet.readLogs());
  t.deepEqual(faults, []);
  t.deepEqual(notReady, []);
  t.true(gapMs <= MAX_GAP_MS, `${gapMs} ms`);
}

/** Expects the servers of all hosts that run to hold keys. */
async function expectAllUsed(
  t: ExecutionContext,
  drill: KeyedDrill,
): Promise<void> {
  await waitFor(USE_LIMIT_MS - OBSERVE_MS);
  t.deepEqual(drill.listUnused(), []);
}

test.serial(
  'each key keeps one server when the store returns from an older copy, twice',
  async t => {
    const drill = await startDrill(t);
    await waitFor(SETTLE_MS);
    const leftAtMs = performance.now();
    await drill.store.restartStore(AWAY_MS, COPY_AGE_MS);
    await waitFor(SETTLE_MS);
    await drill.store.restartStore(AWAY_MS, COPY_AGE_MS);
    await expectOwned(t, drill, leftAtMs - COPY_AGE_MS, leftAtMs);
  },
);

test.serial(
  'each key keeps one server when the store loses a takeover, and the daemon that was lost serves again',
  async t => {
    const drill = await startDrill(t);
    await drill.kill(1);
    const killedAtMs = performance.now();
    await waitFor(TAKEOVER_MS);
    const returned = drill.dropSince(killedAtMs);
    await waitFor(SHORT_MS);
    drill.restart(1);
    await returned;
    await expectOwned(t, drill, killedAtMs);
    await expectAllUsed(t, drill);
  },
);

test.serial(
  'each key keeps one server when the store loses that a server left and that one joined',
  async t => {
    const drill = await startDrill(t);
    const sinceMs = performance.now();
    await Promise.all([drill.removeHost(1), drill.fleet.addHost(SERVICE)]);
    await drill.dropSince(sinceMs);
    await expectOwned(t, drill, sinceMs);
    await expectAllUsed(t, drill);
  },
);

test.serial(
  'each key has one server again in time when the store loses moves and daemons are killed as it returns',
  async t => {
    const drill = await startDrill(t);
    const sinceMs = performance.now();
    await drill.fleet.addHost(SERVICE);
    await waitFor(SETTLE_MS);
    await drill.dropSince(sinceMs);
    await drill.kill(0);
    await waitFor(SHORT_MS);
    await drill.kill(2);
    drill.restart(0);
    await waitFor(SHORT_MS);
    drill.restart(2);
    await expectOwned(t, drill, sinceMs);
  },
);

test.serial(
  'tokens of keys do not go down when the store loses moves and all daemons start again as it returns',
  async t => {
    const drill = await startDrill(t);
    const sinceMs = performance.now();
    await drill.fleet.addHost(SERVICE);
    await waitFor(SETTLE_MS);
    const dropped = drill.dropSince(sinceMs);
    const hosts = drill.fleet.hosts.map(({index}) => index);
    await Promise.all(hosts.map(index => drill.kill(index)));
    await dropped;
    for (const index of hosts) drill.restart(index);
    await expectOwned(t, drill, sinceMs);
  },
);
