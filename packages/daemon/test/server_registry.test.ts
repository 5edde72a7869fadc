/**
 * Tests of the server registry's local decisions about the backend servers on its host.
 */
import test from 'ava';
import type {Dispatcher} from 'undici';

import {createLog} from '@dottereldrift/core/log.js';
import {FifoPolicy} from '@dottereldrift/limits/fifo_policy.js';
import type {ServiceRules} from '@dottereldrift/manifest/types.js';
import {LEASE_DURATION_MS} from '@dottereldrift/membership/constants.js';
import type {ServerInfo} from '@dottereldrift/membership/types.js';
import type {Assignment} from '@dottereldrift/ownership/types.js';

import {SERVER_SILENCE_MS, ServerRegistry} from '../src/server_registry.js';
import {LEAVING_ADMISSION_MS} from '../src/server_types.js';
import {ManualSystem} from './fakes.js';

const SERVICE = 'menu';
const INFO: ServerInfo = {
  service: SERVICE,
  address: {ip: '127.0.0.1', port: 1},
  slots: 1,
  connections: 2,
  isLeaving: false,
};

class Bench {
  rules: ServiceRules | undefined;
  assignment: Assignment | undefined;
  previousServers: readonly ServerInfo[] = [];
  hasAdoptedSession = false;
  isJoined = true;
  readonly system = new ManualSystem();
  readonly published: Array<readonly ServerInfo[]> = [];
  readonly policy = new FifoPolicy(this.system, 1, () => 10);
  readonly registry = new ServerRegistry(
    this.system,
    {
      getEnd: () => ({monotonicMs: Infinity, wallMs: Infinity}),
      setServers: servers => {
        this.published.push(servers);
      },
      isJoined: () => this.isJoined,
      getPreviousServers: () => this.previousServers,
      hasAdoptedSession: () => this.hasAdoptedSession,
    },
    () => this.policy,
    {
      getAssignment: () => this.assignment,
      getHighestToken: () => this.assignment?.generation ?? 0,
      getHeldSlices: () => [],
      isExpecting: () => false,
      mayGrant: () => true,
    },
    () => this.rules,
    createLog('test', 'hidden', 'error'),
    info => this.createPool(info),
  );
  /** Ports of the servers that were sent a grant. */
  readonly granted: number[] = [];

  private createPool({address}: ServerInfo): Dispatcher {
    return {
      request: () => {
        this.granted.push(address.port);
        const body = {dump: () => Promise.resolve()};
        return Promise.resolve({statusCode: 200, body});
      },
      destroy: () => Promise.resolve(),
    } as unknown as Dispatcher;
  }

  /** Occupies the only slot and queues a second request; returns the codes of refusals. */
  addRequests(): readonly string[] {
    const codes: string[] = [];
    for (let index = 0; index < 2; index++) {
      this.policy.requestSlot({
        kind: 'read',
        priority: 5,
        expectedServiceMs: 1,
        deadlineAtMs: Infinity,
        caller: '',
        bytes: 0,
        onRun: () => {},
        onRefuse: refusal => codes.push(refusal.code),
      });
    }
    return codes;
  }
}

test('a leaving server gets no new work after the admission period, even if its slices were not moved', t => {
  const bench = new Bench();
  bench.registry.receiveAnnouncement(INFO);
  t.true(bench.registry.startLeaving(SERVICE));
  const codes = bench.addRequests();
  bench.system.shift(LEAVING_ADMISSION_MS - 1);
  bench.registry.receiveAnnouncement({...INFO, isLeaving: true});
  t.true(bench.registry.isAccepting(SERVICE));
  bench.system.shift(1);
  t.false(bench.registry.isAccepting(SERVICE));
  bench.registry.start();
  t.deepEqual(codes, ['DD3024']);
});

test('the servers of a draining host get no new work after the admission period', t => {
  const bench = new Bench();
  bench.registry.receiveAnnouncement(INFO);
  bench.registry.setDraining(true);
  bench.system.shift(LEAVING_ADMISSION_MS);
  bench.registry.setDraining(true);
  t.false(bench.registry.isAccepting(SERVICE));
  bench.registry.setDraining(false);
  t.true(bench.registry.isAccepting(SERVICE));
});

test('a silent server is removed from the session', t => {
  const bench = new Bench();
  bench.registry.receiveAnnouncement(INFO);
  bench.system.shift(SERVER_SILENCE_MS + 1);
  bench.registry.start();
  t.is(bench.registry.getServer(SERVICE), undefined);
  t.deepEqual(bench.published, [[INFO], []]);
});

test('a restarted daemon that pushes grants confirms no revocation before the grants of its previous process have expired', async t => {
  const bench = new Bench();
  bench.rules = {division: 'byKey', fencing: 'checked'} as ServiceRules;
  t.false(await bench.registry.tryRevoke(SERVICE));
  bench.system.shift(LEASE_DURATION_MS);
  t.true(await bench.registry.tryRevoke(SERVICE));
});

test('after a server has deregistered, no grant of it must be waited for', async t => {
  const bench = new Bench();
  bench.rules = {division: 'byKey', fencing: 'checked'} as ServiceRules;
  bench.registry.receiveAnnouncement(INFO);
  bench.registry.removeServer(SERVICE);
  t.true(await bench.registry.tryRevoke(SERVICE));
});

const CHECKED = {division: 'byKey', fencing: 'checked'} as ServiceRules;
const OTHER_PORT = 2;

/** Returns a daemon that has just restarted after its previous process granted keys to a server. */
function createRestartedBench(): Bench {
  const bench = new Bench();
  bench.rules = CHECKED;
  bench.hasAdoptedSession = true;
  bench.previousServers = [INFO];
  const writer = {host: 'h1', incarnation: 'a'};
  bench.assignment = {service: SERVICE, generation: 1, slices: [], writer};
  return bench;
}

test('a server at a new address is pushed no grant until the grants of the previous daemon process have expired', async t => {
  const bench = createRestartedBench();
  const other = {...INFO, address: {...INFO.address, port: OTHER_PORT}};
  bench.registry.receiveAnnouncement(other);
  bench.registry.sendGrants();
  t.deepEqual(bench.granted, []);
  t.false(await bench.registry.tryRevoke(SERVICE));
  bench.registry.removeServer(SERVICE);
  t.false(
    await bench.registry.tryRevoke(SERVICE),
    'another server may hold keys',
  );
  bench.registry.receiveAnnouncement(other);
  bench.system.shift(LEASE_DURATION_MS);
  bench.registry.sendGrants();
  t.deepEqual(bench.granted, [OTHER_PORT]);
});

test('a server neither confirms nor ends grants before the state of the previous daemon process is known', async t => {
  const bench = createRestartedBench();
  bench.isJoined = false;
  bench.registry.receiveAnnouncement(INFO);
  t.false(await bench.registry.tryRevoke(SERVICE));
  t.deepEqual(bench.granted, []);
  bench.registry.removeServer(SERVICE);
  t.false(await bench.registry.tryRevoke(SERVICE));
});

test('a server known from the previous daemon process is pushed its grant at once', t => {
  const bench = createRestartedBench();
  bench.registry.receiveAnnouncement(INFO);
  t.deepEqual(bench.granted, [1]);
});
