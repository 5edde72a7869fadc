/**
 * Tests of the grants that a daemon pushes to a backend server and of their acknowledgements.
 */
import test from 'ava';
import {MockAgent} from 'undici';

import {createLog} from '@dottereldrift/core/log.js';
import type {Cancel, System} from '@dottereldrift/core/system.js';
import type {Instant} from '@dottereldrift/core/types.js';
import type {Slice} from '@dottereldrift/ownership/types.js';

import {GRANT_PATH, GrantSender} from '../src/grant_sender.js';

const SERVICE = 'menu';
const ORIGIN = 'http://127.0.0.1:1';
const LEASE_MS = 1_900;
const SLICE: Slice = {
  start: 0,
  owner: {host: 'h1', incarnation: 'a'},
  token: 3,
  nextOwner: undefined,
  recordsSince: 0,
};

class FakeSystem implements System {
  nowMs = 10_000;

  getNow() {
    return {monotonicMs: this.nowMs, wallMs: 1_000_000 + this.nowMs};
  }

  startTimer(): Cancel {
    return () => {};
  }

  getRandom(): number {
    return 0;
  }

  createId(): string {
    return 'id';
  }
}

class Bench {
  readonly system = new FakeSystem();
  readonly bodies: Array<{readonly slices?: unknown}> = [];
  readonly pool;
  slices: readonly Slice[] = [SLICE];
  refusals = 0;
  readonly sender: GrantSender;
  private readonly agent = new MockAgent();

  constructor(
    previousGrantsEnd: Instant = {monotonicMs: -Infinity, wallMs: -Infinity},
  ) {
    this.agent.disableNetConnect();
    this.pool = this.agent.get(ORIGIN);
    this.sender = new GrantSender(
      SERVICE,
      this.system,
      {
        getAssignment: () => ({
          service: SERVICE,
          generation: 3,
          slices: [SLICE],
          writer: {host: 'h1', incarnation: 'a'},
        }),
        getSlices: () => this.slices,
        getLeaseEnd: () => ({
          monotonicMs: this.system.nowMs + LEASE_MS,
          wallMs: 1_000_000 + this.system.nowMs + LEASE_MS,
        }),
      },
      () => {
        this.refusals += 1;
      },
      createLog('test', 'hidden', 'error'),
      previousGrantsEnd,
    );
  }

  answerNext(status: number): void {
    const path = `${GRANT_PATH}${SERVICE}`;
    this.pool.intercept({path, method: 'PUT'}).reply(options => {
      this.bodies.push(
        JSON.parse(String(options.body)) as {readonly slices?: unknown},
      );
      return {statusCode: status};
    });
  }

  failNext(code: string): void {
    const path = `${GRANT_PATH}${SERVICE}`;
    const error = Object.assign(new Error(code), {code});
    this.pool.intercept({path, method: 'PUT'}).replyWithError(error);
  }
}

test('a slice is granted from the acknowledgement until the end of the grant', async t => {
  const bench = new Bench();
  t.false(bench.sender.isGranted(SLICE));
  bench.answerNext(204);
  await bench.sender.send(bench.pool);
  t.true(bench.sender.isGranted(SLICE));
  t.false(bench.sender.isGranted({...SLICE, token: 4}));
  bench.system.nowMs += LEASE_MS;
  t.false(bench.sender.isGranted(SLICE));
});

test('an unanswered grant counts until it expires', async t => {
  const bench = new Bench();
  bench.failNext('UND_ERR_ABORTED');
  await bench.sender.send(bench.pool);
  t.false(bench.sender.isGranted(SLICE));
  t.false(bench.sender.hasLapsed());
  bench.system.nowMs += LEASE_MS - 1;
  t.false(bench.sender.hasLapsed());
  t.is(bench.sender.getUnansweredMs(), LEASE_MS - 1);
  bench.system.nowMs += 1;
  t.true(bench.sender.hasLapsed());
});

test('a server with an unanswered grant gets no later grant end until it answers', async t => {
  const bench = new Bench();
  bench.failNext('UND_ERR_ABORTED');
  await bench.sender.send(bench.pool);
  bench.system.nowMs += 1_000;
  bench.failNext('UND_ERR_ABORTED');
  await bench.sender.send(bench.pool);
  bench.system.nowMs += LEASE_MS - 1_000;
  t.true(bench.sender.hasLapsed());
  bench.answerNext(204);
  await bench.sender.send(bench.pool);
  t.true(bench.sender.isGranted(SLICE));
});

test('a renewal omits the slices unless the server rejects it', async t => {
  const bench = new Bench();
  bench.answerNext(204);
  await bench.sender.send(bench.pool);
  bench.answerNext(409);
  bench.answerNext(204);
  await bench.sender.send(bench.pool);
  t.deepEqual(
    bench.bodies.map(body => body.slices),
    [[[0, 3]], undefined, [[0, 3]]],
  );
  t.true(bench.sender.isGranted(SLICE));
});

test('a revocation is confirmed only by an acknowledged slice list', async t => {
  const bench = new Bench();
  bench.answerNext(204);
  await bench.sender.send(bench.pool);
  bench.slices = [];
  bench.failNext('UND_ERR_ABORTED');
  t.false(await bench.sender.tryConfirm(bench.pool));
  bench.answerNext(204);
  t.true(await bench.sender.tryConfirm(bench.pool));
  t.deepEqual(bench.bodies[1]?.slices, []);
});

test('a refused connection is reported', async t => {
  const bench = new Bench();
  bench.failNext('ECONNREFUSED');
  await bench.sender.send(bench.pool);
  t.is(bench.refusals, 1);
});
