/**
 * Tests of relays in virtual time: who asks the store, and how soon a configuration is in force
 * everywhere when a relay is paused, lost or cut off from the store.
 */
import test from 'ava';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';

import {
  encodeAssignment,
  getAssignmentKey,
} from '@dottereldrift/ownership/assignment_record.js';
import {createSlices} from '@dottereldrift/ownership/slices.js';

import {DRAIN_PREFIX} from '../src/store_view.js';
import {RelayFleet, type RelayNode} from './relay_fleet.js';

const NODES = 6;
const WIDE_NODES = 14;
const DATA_CENTRES = 3;
const SETTLE_MS = 8_000;
/** Others that a daemon asks in a round, one round a second. */
const STREAMS_PER_SECOND = 4;
const IN_FORCE_LIMIT_MS = 6_000;

async function createFleet(seed: number): Promise<RelayFleet> {
  const generator = xoroshiro128plus(seed);
  const fleet = new RelayFleet(() => uniformFloat64(generator));
  for (let index = 1; index <= NODES; index++) await fleet.addNode(`h${index}`);
  await fleet.writeManifest(1);
  await fleet.runFor(SETTLE_MS);
  return fleet;
}

/** Creates a fleet as the users' smaller one: 14 daemons in three data centres. */
async function createWideFleet(seed: number): Promise<RelayFleet> {
  const generator = xoroshiro128plus(seed);
  const fleet = new RelayFleet(() => uniformFloat64(generator));
  for (let index = 1; index <= WIDE_NODES; index++)
    await fleet.addNode(`h${index}`, `dc${index % DATA_CENTRES}`);
  await fleet.writeManifest(1);
  await fleet.runFor(SETTLE_MS);
  return fleet;
}

function getRelay(fleet: RelayFleet): RelayNode {
  const [relay] = fleet.getRelays();
  if (relay === undefined) throw new Error('There is no relay.');
  return relay;
}

test('at rest only the relay asks the store', async t => {
  const fleet = await createFleet(1);
  t.is(fleet.getRelays().length, 1);
  const before = fleet.nodes.map(node => node.counters.storeCalls);
  await fleet.runFor(20_000);
  const calls = fleet.nodes.map(
    (node, index) => node.counters.storeCalls - (before[index] ?? 0),
  );
  t.is(calls.filter(count => count > 0).length, 1);
  t.true(Math.max(...calls) <= 11);
  t.deepEqual(
    fleet.nodes.map(node => node.getGeneration()),
    fleet.nodes.map(() => 1),
  );
  fleet.stop();
});

for (const fault of ['none', 'paused', 'cut off'] as const) {
  test(`a configuration is in force everywhere in time: relay ${fault}`, async t => {
    for (let seed = 1; seed <= 4; seed++) {
      const fleet = await createFleet(seed);
      const relay = getRelay(fleet);
      relay.isPaused = fault === 'paused';
      relay.isCutOff = fault === 'cut off';
      await fleet.runFor((seed - 1) * 1_100);
      for (let generation = 2; generation <= 4; generation++) {
        await fleet.writeManifest(generation);
        await fleet.runFor(IN_FORCE_LIMIT_MS);
        for (const node of fleet.nodes) {
          if (node.isPaused) continue;
          const where = `${node.name}, seed ${seed}`;
          t.is(node.getGeneration(), generation, where);
        }
      }
      relay.isPaused = false;
      relay.isCutOff = false;
      await fleet.runFor(4 * SETTLE_MS);
      t.is(fleet.getRelays().length, 1, `seed ${seed}`);
      fleet.stop();
    }
  });
}

for (const cutOff of [0.35, 0.7]) {
  test(`what changes is known everywhere while ${cutOff} of the daemons are cut off from the store, relays first`, async t => {
    for (let seed = 1; seed <= 6; seed++) {
      const fleet = await createWideFleet(seed);
      const relays = fleet.getRelays();
      const others = fleet.nodes.filter(node => !relays.includes(node));
      const most = Math.round(fleet.nodes.length * cutOff);
      const cut = [...relays.slice(0, seed % 4), ...others].slice(0, most);
      for (const node of cut) node.isCutOff = true;
      await fleet.runFor(500);
      for (let generation = 2; generation <= 4; generation++) {
        await fleet.writeManifest(generation);
        await fleet.runFor(IN_FORCE_LIMIT_MS);
        for (const node of fleet.nodes) {
          const where = `${node.name}, seed ${seed}`;
          t.is(node.getGeneration(), generation, where);
        }
      }
      const before = cut.map(node => node.counters.storeCalls);
      await fleet.runFor(20_000);
      for (const [index, node] of cut.entries()) {
        const calls = node.counters.storeCalls - (before[index] ?? 0);
        t.true(calls <= 60, `${node.name}, seed ${seed}: ${calls} calls`);
      }
      for (const node of cut) node.isCutOff = false;
      await fleet.runFor(4 * SETTLE_MS);
      t.is(fleet.getRelays().length, DATA_CENTRES, `seed ${seed}`);
      fleet.stop();
    }
  });
}

test('daemons whose streams end at once are not followed without pause in place of a silent relay', async t => {
  const fleet = await createWideFleet(1);
  const [relay] = fleet.getRelays();
  const [first = '', centre = ''] = [relay?.name, relay?.dataCentre];
  const cut = fleet.nodes.filter(node => node.dataCentre === centre);
  const others = fleet.nodes.filter(node => node.dataCentre !== centre);
  for (const node of cut) node.isCutOff = true;
  for (const node of others) node.isBrief = true;
  await fleet.runFor(SETTLE_MS);
  const countStreams = () =>
    others.reduce((sum, {streams}) => sum + streams, 0);
  const before = countStreams();
  const seconds = 10;
  await fleet.runFor(seconds * 1_000);
  const each = (countStreams() - before) / cut.length / seconds;
  t.true(each > 0 && each <= STREAMS_PER_SECOND, `${first}: ${each} a second`);
  fleet.stop();
});

test('an outage of the store does not make every daemon call it without pause', async t => {
  const fleet = await createFleet(3);
  fleet.isStoreOut = true;
  await fleet.runFor(SETTLE_MS);
  const before = fleet.nodes.map(node => node.counters.storeCalls);
  await fleet.runFor(60_000);
  for (const [index, node] of fleet.nodes.entries()) {
    const calls = node.counters.storeCalls - (before[index] ?? 0);
    t.true(calls <= 60, `${node.name}: ${calls}`);
  }
  fleet.isStoreOut = false;
  await fleet.writeManifest(2);
  await fleet.runFor(IN_FORCE_LIMIT_MS);
  t.deepEqual(
    fleet.nodes.map(node => node.getGeneration()),
    fleet.nodes.map(() => 2),
  );
  fleet.stop();
});

test('a daemon that starts in an outage learns from a peer what is in force', async t => {
  const fleet = await createFleet(2);
  fleet.isStoreOut = true;
  await fleet.runFor(40_000);
  const late = await fleet.addNode('late');
  await fleet.runFor(SETTLE_MS);
  t.is(late.getGeneration(), 1);
  t.is(late.view.getLiveSessions().length, NODES);
  t.true(late.view.getSilenceMs() >= 30_000, 'it knows that it is not fresh');
  fleet.isStoreOut = false;
  await fleet.writeManifest(2);
  await fleet.runFor(IN_FORCE_LIMIT_MS);
  t.is(late.getGeneration(), 2);
  fleet.stop();
});

test('assignments travel as differences, and deletions are passed on', async t => {
  const fleet = await createFleet(5);
  const write = async (generation: number, version: number) => {
    const owner = {host: 'h1', incarnation: 'a'};
    const slices = createSlices(500).map((slice, index) =>
      index === 7 ? {...slice, owner, token: generation} : slice,
    );
    const assignment = {service: 'menu', generation, slices, writer: owner};
    const value = encodeAssignment(assignment);
    const key = getAssignmentKey('menu');
    const written = await fleet.store.updateObject(key, version, value)();
    t.is(written._tag, 'Right');
    return written._tag === 'Right' ? written.right : 0;
  };
  const version = await write(1, 0);
  await fleet.runFor(1_000);
  const relay = getRelay(fleet);
  const before = relay.counters.relayBytesSent;
  await write(2, version);
  await fleet.runFor(900);
  const bytes = relay.counters.relayBytesSent - before;
  t.true(bytes < 500 * (NODES - 1), `${bytes} bytes to ${NODES - 1} daemons`);
  for (const node of fleet.nodes) {
    const assignment = node.view.getAssignment('menu')?.assignment;
    t.is(assignment?.generation, 2);
    t.is(assignment?.slices[7]?.token, 2);
    t.is(assignment?.slices.length, 500);
  }
  const key = `${DRAIN_PREFIX}h3`;
  const drain = await fleet.store.updateObject(key, 0, Buffer.from('{}'))();
  await fleet.runFor(1_000);
  t.true(fleet.nodes.every(node => node.view.isDraining('h3')));
  const drainVersion = drain._tag === 'Right' ? drain.right : 0;
  await fleet.store.deleteObject(key, drainVersion)();
  await fleet.runFor(1_000);
  t.false(fleet.nodes.some(node => node.view.isDraining('h3')));
  fleet.stop();
});

test('an object never goes back, whoever sends it', async t => {
  const fleet = await createFleet(6);
  const [node] = fleet.nodes;
  if (node === undefined) return t.fail();
  const key = `${DRAIN_PREFIX}h2`;
  const value = Buffer.from('{}');
  node.view.applyObject({key, version: 900, value});
  node.view.removeObject(key, 901);
  node.view.applyObject({key, version: 900, value});
  t.false(node.view.isDraining('h2'));
  fleet.stop();
});
