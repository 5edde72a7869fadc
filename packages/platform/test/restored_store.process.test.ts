/**
 * The store goes away and returns, as it was or from an older copy, while the operator changes the configuration
 * of five real daemons. Unless a case says otherwise, the other writer of the store stays away after a return, so
 * that lost revisions stay lost.
 */
import test, {type ExecutionContext} from 'ava';

import {ConfigurationWatch} from './configuration_watch.js';
import {PlatformFleet} from './platform_fleet.js';
import {StoreDrill, waitFor} from './store_drill.js';

const SERVICES = ['pay', 'pay', 'stock', 'rutas', 'menu'];
const GRACE_S = 6;
const SETTLE_MS = 1_500;
const AWAY_MS = 1_000;
const COPY_AGE_MS = 3_000;
const CHANGE_DELAY_MS = 3_500;
/** Time after the last change; above the bound within which a change is in force. */
const OBSERVE_MS = 2_500;
const SHORT_MS = 300;
/** Time after which some daemons have received a change. */
const FEW_MS = 4;
/**
 * Calls that each daemon may make for a return from an older copy beyond those for a plain absence: it reads both
 * kinds of objects, watches both from there, and reads and writes its own session.
 */
const CALLS_TO_WRITE_AGAIN = 6;

/** A fleet whose store can return from an older copy while the operator changes the configuration. */
class Drill {
  readonly fleet = new PlatformFleet({hasEra: true});
  readonly watch = new ConfigurationWatch(this.fleet);
  private readonly store = new StoreDrill(this.fleet.store);

  async start(): Promise<void> {
    this.store.startWriter();
    await this.fleet.start(SERVICES, GRACE_S);
    this.watch.start();
    await waitFor(SETTLE_MS);
  }

  async stop(): Promise<void> {
    this.store.stop();
    await this.watch.stop();
    await this.fleet.stop();
  }

  startWriter(): void {
    this.store.startWriter();
  }

  async restartStore(awayMs: number, copyAgeMs?: number): Promise<void> {
    this.watch.recordLoss(await this.store.restartStore(awayMs, copyAgeMs));
  }
}

async function startDrill(t: ExecutionContext): Promise<Drill> {
  const drill = new Drill();
  t.teardown(() => drill.stop());
  await drill.start();
  return drill;
}

function expectInForce(t: ExecutionContext, {fleet, watch}: Drill): void {
  for (const text of watch.formatDelays()) t.log(text);
  const faults = watch.listFaults();
  if (faults.length > 0) t.log(fleet.readLogs());
  t.deepEqual(faults, []);
}

/** Changes the configuration before and after an absence; returns the number of calls to the store from the absence on. */
async function runReturn(
  t: ExecutionContext,
  drill: Drill,
  copyAgeMs: number | undefined,
): Promise<number> {
  drill.watch.writeNext();
  await waitFor(SETTLE_MS);
  const {store} = drill.fleet;
  const {calls} = store;
  const callsBefore = calls.length;
  await drill.restartStore(AWAY_MS, copyAgeMs);
  drill.watch.writeAgain();
  await waitFor(CHANGE_DELAY_MS);
  drill.watch.writeNext();
  await waitFor(OBSERVE_MS);
  const count = calls.length - callsBefore;
  t.log(`calls to the store: ${count}, ${store.formatCalls(callsBefore)}`);
  return count;
}

let plainCalls: number | undefined;

test.serial(
  'after an absence of the store that loses nothing, a changed configuration is in force in time',
  async t => {
    const drill = await startDrill(t);
    plainCalls = await runReturn(t, drill, undefined);
    expectInForce(t, drill);
  },
);

test.serial(
  'a configuration changed after the store returned from an older copy is in force in time',
  async t => {
    const drill = await startDrill(t);
    const calls = await runReturn(t, drill, COPY_AGE_MS);
    expectInForce(t, drill);
    const {length} = drill.fleet.hosts;
    if (plainCalls !== undefined)
      t.true(calls <= plainCalls + length * CALLS_TO_WRITE_AGAIN);
  },
);

test.serial(
  'configurations changed after each of two returns of the store from older copies are in force in time',
  async t => {
    const drill = await startDrill(t);
    drill.watch.writeNext();
    await waitFor(SETTLE_MS);
    // Here the other writer goes on at once, so revisions are soon as high as before.
    await drill.restartStore(AWAY_MS, COPY_AGE_MS);
    drill.startWriter();
    await waitFor(SHORT_MS);
    drill.watch.writeNext();
    await waitFor(OBSERVE_MS);
    await runReturn(t, drill, COPY_AGE_MS);
    expectInForce(t, drill);
  },
);

test.serial(
  'a configuration is in force in time after the store returned again before all was written again',
  async t => {
    const drill = await startDrill(t);
    drill.watch.writeNext();
    await waitFor(SETTLE_MS);
    await drill.restartStore(AWAY_MS, COPY_AGE_MS);
    await waitFor(SHORT_MS);
    // Loses a part of what the daemons have written since.
    await drill.restartStore(SHORT_MS, SHORT_MS / 2);
    drill.watch.writeAgain();
    await waitFor(SHORT_MS);
    // Loses all of it, and the configuration.
    await drill.restartStore(SHORT_MS, COPY_AGE_MS / 2);
    drill.watch.writeAgain();
    await waitFor(CHANGE_DELAY_MS);
    drill.watch.writeNext();
    await waitFor(OBSERVE_MS);
    expectInForce(t, drill);
  },
);

test.serial(
  'no daemon goes back to an older configuration while the store has lost the newer one, and all take a higher one',
  async t => {
    const drill = await startDrill(t);
    drill.watch.writeNext();
    await waitFor(SHORT_MS);
    await drill.restartStore(AWAY_MS, COPY_AGE_MS);
    drill.startWriter();
    await waitFor(AWAY_MS);
    drill.watch.writeAgain();
    await waitFor(OBSERVE_MS);
    // Not all daemons know the version that is lost.
    drill.watch.writeNext();
    await waitFor(FEW_MS);
    await drill.restartStore(AWAY_MS, COPY_AGE_MS);
    drill.watch.writeAgain();
    await waitFor(OBSERVE_MS);
    drill.watch.writeNext();
    await waitFor(SHORT_MS);
    await drill.restartStore(AWAY_MS, COPY_AGE_MS);
    drill.watch.writeNext();
    await waitFor(OBSERVE_MS);
    expectInForce(t, drill);
  },
);

test.serial(
  'a configuration is in force in time at daemons killed while the store was away and right after it returned',
  async t => {
    const drill = await startDrill(t);
    const {watch} = drill;
    watch.writeNext();
    await waitFor(SETTLE_MS);
    const returned = drill.restartStore(AWAY_MS, COPY_AGE_MS);
    await waitFor(SHORT_MS);
    await watch.restartDaemon(1);
    await returned;
    await watch.restartDaemon(2);
    await waitFor(SHORT_MS);
    watch.writeAgain();
    await waitFor(CHANGE_DELAY_MS);
    watch.writeNext();
    await waitFor(OBSERVE_MS);
    expectInForce(t, drill);
  },
);
