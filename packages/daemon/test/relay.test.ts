/**
 * Tests relays in virtual time: which daemons call the store, and how soon a configuration is in effect
 * on all daemons when a relay is paused or cut off from the store.
 */
import test from 'ava';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';

import {createLog} from '@dottereldrift/core/log.js';
import {createNodeSystem} from '@dottereldrift/core/system.js';
import {
  encodeAssignment,
  getAssignmentKey,
} from '@dottereldrift/ownership/assignment_record.js';
import {createSlices} from '@dottereldrift/ownership/slices.js';

import {createCounters} from '../src/control_counters.js';
import {RelayServer} from '../src/relay_server.js';
import {DRAIN_PREFIX, StoreView} from '../src/store_view.js';
import {RelayFleet, type RelayNode} from './relay_fleet.js';

const NODES = 6;
const LARGE_FLEET_NODES = 14;
const DATA_CENTRES = 3;
const SETTLE_MS = 8_000;
/** Daemons that a daemon tries per search; it searches once per second. */
const MAX_STREAMS_PER_SECOND = 4;
const IN_EFFECT_LIMIT_MS = 6_000;

async function createFleet(seed: number): Promise<RelayFleet> {
  const generator = xoroshiro128plus(seed);
  const fleet = new RelayFleet(() => uniformFloat64(generator));
  for (let index = 1; index <= NODES; index++) await fleet.addNode(`h${index}`);
  await fleet.writeManifest(1);
  await fleet.runFor(SETTLE_MS);
  return fleet;
}

/** Creates a fleet of 14 daemons in three data centres, like the smaller fleet of the users. */
async function createLargeFleet(seed: number): Promise<RelayFleet> {
  const generator = xoroshiro128plus(seed);
  const fleet = new RelayFleet(() => uniformFloat64(generator));
  for (let index = 1; index <= LARGE_FLEET_NODES; index++)
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

test('without faults only the relay calls the store', async t => {
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
  test(`a configuration takes effect on all reachable daemons within the limit: relay fault ${fault}`, async t => {
    for (let seed = 1; seed <= 4; seed++) {
      const fleet = await createFleet(seed);
      const relay = getRelay(fleet);
      relay.isPaused = fault === 'paused';
      relay.isCutOff = fault === 'cut off';
      await fleet.runFor((seed - 1) * 1_100);
      for (let generation = 2; generation <= 4; generation++) {
        await fleet.writeManifest(generation);
        await fleet.runFor(IN_EFFECT_LIMIT_MS);
        for (const node of fleet.nodes) {
          if (node.isPaused) continue;
          const context = `${node.name}, seed ${seed}`;
          t.is(node.getGeneration(), generation, context);
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

for (const cutOffFraction of [0.35, 0.7]) {
  test(`all daemons learn of changes while a fraction ${cutOffFraction} of them, relays included, is cut off from the store`, async t => {
    for (let seed = 1; seed <= 6; seed++) {
      const fleet = await createLargeFleet(seed);
      const relays = fleet.getRelays();
      const others = fleet.nodes.filter(node => !relays.includes(node));
      const cutOffCount = Math.round(fleet.nodes.length * cutOffFraction);
      const cutOffNodes = [...relays.slice(0, seed % 4), ...others].slice(
        0,
        cutOffCount,
      );
      for (const node of cutOffNodes) node.isCutOff = true;
      await fleet.runFor(500);
      for (let generation = 2; generation <= 4; generation++) {
        await fleet.writeManifest(generation);
        await fleet.runFor(IN_EFFECT_LIMIT_MS);
        for (const node of fleet.nodes) {
          const context = `${node.name}, seed ${seed}`;
          t.is(node.getGeneration(), generation, context);
        }
      }
      const before = cutOffNodes.map(node => node.counters.storeCalls);
      await fleet.runFor(20_000);
      for (const [index, node] of cutOffNodes.entries()) {
        const calls = node.counters.storeCalls - (before[index] ?? 0);
        t.true(calls <= 60, `${node.name}, seed ${seed}: ${calls} calls`);
      }
      for (const node of cutOffNodes) node.isCutOff = false;
      await fleet.runFor(4 * SETTLE_MS);
      t.is(fleet.getRelays().length, DATA_CENTRES, `seed ${seed}`);
      fleet.stop();
    }
  });
}

test('daemons whose streams end early are not retried without a pause while the relay has no store contact', async t => {
  const fleet = await createLargeFleet(1);
  const [relay] = fleet.getRelays();
  const [relayName = '', relayDataCentre = ''] = [
    relay?.name,
    relay?.dataCentre,
  ];
  const cutOffNodes = fleet.nodes.filter(
    node => node.dataCentre === relayDataCentre,
  );
  const others = fleet.nodes.filter(
    node => node.dataCentre !== relayDataCentre,
  );
  for (const node of cutOffNodes) node.isCutOff = true;
  for (const node of others) node.hasShortStreams = true;
  await fleet.runFor(SETTLE_MS);
  const countStreams = () =>
    others.reduce((sum, {streams}) => sum + streams, 0);
  const before = countStreams();
  const seconds = 10;
  await fleet.runFor(seconds * 1_000);
  const streamsPerSecond =
    (countStreams() - before) / cutOffNodes.length / seconds;
  t.true(
    streamsPerSecond > 0 && streamsPerSecond <= MAX_STREAMS_PER_SECOND,
    `${relayName}: ${streamsPerSecond} per second`,
  );
  fleet.stop();
});

test('daemons limit their calls to the store during an outage', async t => {
  const fleet = await createFleet(3);
  fleet.isStoreDown = true;
  await fleet.runFor(SETTLE_MS);
  const before = fleet.nodes.map(node => node.counters.storeCalls);
  await fleet.runFor(60_000);
  for (const [index, node] of fleet.nodes.entries()) {
    const calls = node.counters.storeCalls - (before[index] ?? 0);
    t.true(calls <= 60, `${node.name}: ${calls}`);
  }
  fleet.isStoreDown = false;
  await fleet.writeManifest(2);
  await fleet.runFor(IN_EFFECT_LIMIT_MS);
  t.deepEqual(
    fleet.nodes.map(node => node.getGeneration()),
    fleet.nodes.map(() => 2),
  );
  fleet.stop();
});

test('a daemon that starts during a store outage loads the view from a peer', async t => {
  const fleet = await createFleet(2);
  fleet.isStoreDown = true;
  await fleet.runFor(40_000);
  const lateNode = await fleet.addNode('late');
  await fleet.runFor(SETTLE_MS);
  t.is(lateNode.getGeneration(), 1);
  t.is(lateNode.view.getLiveSessions().length, NODES);
  t.true(
    lateNode.view.getSilenceMs() >= 30_000,
    'the view of the new daemon is reported as stale',
  );
  fleet.isStoreDown = false;
  await fleet.writeManifest(2);
  await fleet.runFor(IN_EFFECT_LIMIT_MS);
  t.is(lateNode.getGeneration(), 2);
  fleet.stop();
});

test('relays send assignments as diffs and propagate deletions', async t => {
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

test('a change of an assignment is encoded once for all followers', async t => {
  const system = createNodeSystem();
  const view = new StoreView(system, createLog('test', 'hidden', 'error'));
  const server = new RelayServer(system, view, createCounters());
  const applyGeneration = (generation: number) => {
    const owner = {host: 'h1', incarnation: 'a'};
    const slices = createSlices(500).map((slice, index) =>
      index === 7 ? {...slice, owner, token: generation} : slice,
    );
    const assignment = {service: 'menu', generation, slices, writer: owner};
    view.applyAssignment({assignment, version: generation});
  };
  applyGeneration(1);
  const {signal} = new AbortController();
  const streams = [0, 1, 2].map(() => server.serveFollower(-1, signal));
  await Promise.all(streams.map(stream => stream.next()));
  const updates = Promise.all(streams.map(stream => stream.next()));
  applyGeneration(2);
  const diffs = (await updates).map(({value}) => value?.diffs[0]);
  t.is(diffs[0]?.changed?.starts.length, 1);
  t.true(diffs.every(diff => diff === diffs[0]));
  server.stop();
});

test('an object never reverts to an earlier version', async t => {
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
