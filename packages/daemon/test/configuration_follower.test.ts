/**
 * Tests how a daemon follows the configuration when watches fail or stall without an error.
 */
import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';

import {createLog} from '@dottereldrift/core/log.js';
import type {
  ReadConsistency,
  StoredObject,
  StoreFailure,
} from '@dottereldrift/store/types.js';

import {
  type ConfigurationAnswer,
  ConfigurationFollower,
} from '../src/configuration_follower.js';
import {ManualSystem} from './fakes.js';

const ANNOUNCER = {ip: '127.0.0.9', port: 9};
const UNAVAILABLE: StoreFailure = {kind: 'unavailable', text: 'away'};

type Answer = E.Either<StoreFailure, ConfigurationAnswer>;

/** A store whose calls block until the test answers them, and a view that records one generation. */
class Fixture {
  readonly system = new ManualSystem();
  readonly calls: string[] = [];
  /** Consistency of each call, in order. */
  readonly consistencies: ReadConsistency[] = [];
  readonly waitsMs: number[] = [];
  generation = 0;
  /** Generation that other daemons have and the store does not. */
  remembered = 0;
  isStoreReader = true;
  private answer: (answer: Answer) => void = () => {};
  readonly follower = new ConfigurationFollower(
    this.system,
    {
      readConfiguration: consistency => () => {
        this.consistencies.push(consistency ?? 'linearizable');
        return this.call('read');
      },
      watchConfiguration: (_after, waitMs, options) => () => {
        this.consistencies.push(options?.consistency ?? 'linearizable');
        this.waitsMs.push(waitMs);
        options?.signal?.addEventListener('abort', () => {
          this.answer(E.left(UNAVAILABLE));
        });
        return this.call('watch');
      },
    },
    {
      applyObject: ({version}: StoredObject) => {
        this.generation = version;
      },
      getManifest: () =>
        this.generation === 0
          ? undefined
          : {
              generation: this.generation,
              sourceVersion: 0,
              manifest: {services: {}},
            },
      getAcceptedVersion: () => this.generation,
      isLoaded: () => true,
    },
    () => this.isStoreReader,
    address => {
      this.calls.push(`ask ${address.ip}`);
      this.generation = Math.max(this.generation, this.remembered);
      return Promise.resolve();
    },
    createLog('test', 'hidden', 'error'),
  );

  constructor() {
    void this.follower.run();
  }

  /** Answers the last call and lets the follower make its next one. */
  async answerLast(answer: Answer): Promise<void> {
    this.answer(answer);
    await this.waitForPromises();
  }

  async waitForPromises(): Promise<void> {
    for (let turn = 0; turn < 20; turn++) await Promise.resolve();
  }

  private call(kind: string): Promise<Answer> {
    this.calls.push(kind);
    return new Promise(resolve => {
      this.answer = resolve;
    });
  }
}

function createAnswer(version: number): Answer {
  const value = Buffer.from(JSON.stringify({generation: version}));
  const accepted = {key: 'manifest/accepted', version, value};
  return E.right({revision: version, accepted});
}

test('after a failed call the configuration is read instead of watched', async t => {
  const fixture = new Fixture();
  await fixture.answerLast(createAnswer(1));
  t.deepEqual(fixture.calls, ['read', 'watch']);
  await fixture.answerLast(E.left(UNAVAILABLE));
  fixture.system.shift(500);
  await fixture.waitForPromises();
  t.deepEqual(fixture.calls, ['read', 'watch', 'read']);
  await fixture.answerLast(createAnswer(2));
  t.deepEqual(fixture.calls, ['read', 'watch', 'read', 'watch']);
  t.is(fixture.generation, 2);
});

test('a newer configuration announced by another daemon is read while a watch is pending', async t => {
  const fixture = new Fixture();
  await fixture.answerLast(createAnswer(1));
  fixture.follower.receiveGeneration(2, ANNOUNCER);
  fixture.follower.receiveGeneration(2, ANNOUNCER);
  t.deepEqual(
    fixture.calls,
    ['read', 'watch'],
    'the pending watch may still deliver it',
  );
  fixture.system.shift(200);
  t.deepEqual(fixture.calls, ['read', 'watch', 'read']);
  await fixture.answerLast(createAnswer(2));
  t.is(fixture.generation, 2);
  fixture.follower.receiveGeneration(2, ANNOUNCER);
  fixture.system.shift(200);
  t.is(fixture.calls.length, 3);
});

test('an announced configuration is read again after a read that returned an older one', async t => {
  const fixture = new Fixture();
  await fixture.answerLast(createAnswer(1));
  fixture.follower.receiveGeneration(2, ANNOUNCER);
  fixture.system.shift(200);
  await fixture.answerLast(createAnswer(1));
  const before = ['read', 'watch', 'read', 'ask 127.0.0.9'];
  fixture.follower.receiveGeneration(2, ANNOUNCER);
  t.deepEqual(fixture.calls, before, 'a pause keeps heartbeats from flooding');
  fixture.system.shift(1_000);
  fixture.follower.receiveGeneration(2, ANNOUNCER);
  fixture.system.shift(200);
  t.deepEqual(fixture.calls, [...before, 'read']);
});

test('an announced configuration that the restored store lacks is taken from the daemon that has it', async t => {
  const fixture = new Fixture();
  await fixture.answerLast(createAnswer(1));
  fixture.remembered = 2;
  fixture.follower.receiveGeneration(2, ANNOUNCER);
  fixture.system.shift(200);
  await fixture.answerLast(createAnswer(1));
  t.is(fixture.generation, 2);
});

test('a daemon that follows another one watches serializably and seldom, and leaves announced reads to that one', async t => {
  const fixture = new Fixture();
  fixture.isStoreReader = false;
  await fixture.answerLast(createAnswer(1));
  t.deepEqual(fixture.consistencies, ['linearizable', 'serializable']);
  t.true((fixture.waitsMs[0] ?? 0) >= 15_000);
  fixture.follower.receiveGeneration(2, ANNOUNCER);
  fixture.system.shift(500);
  t.is(fixture.calls.length, 2);
  fixture.generation = 2;
  fixture.system.shift(200);
  t.is(fixture.calls.length, 2, 'it has arrived with the view');
  fixture.follower.receiveGeneration(3, ANNOUNCER);
  fixture.system.shift(600);
  t.deepEqual(fixture.calls, ['read', 'watch', 'read']);
  t.is(fixture.consistencies[2], 'linearizable');
});

test('a serializable watch ends when the daemon becomes a reader of the store', async t => {
  const fixture = new Fixture();
  fixture.isStoreReader = false;
  await fixture.answerLast(createAnswer(1));
  fixture.isStoreReader = true;
  fixture.follower.startReading();
  await fixture.waitForPromises();
  t.deepEqual(fixture.calls, ['read', 'watch', 'watch']);
  t.is(fixture.consistencies[2], 'linearizable');
  t.true((fixture.waitsMs[1] ?? Infinity) <= 8_000);
});

test('the answer to a read is used although the daemon has become a reader of the store meanwhile', async t => {
  const fixture = new Fixture();
  fixture.isStoreReader = false;
  await fixture.answerLast(createAnswer(1));
  await fixture.answerLast(E.left(UNAVAILABLE));
  fixture.system.shift(500);
  await fixture.waitForPromises();
  t.deepEqual(fixture.calls, ['read', 'watch', 'read']);
  fixture.isStoreReader = true;
  fixture.follower.startReading();
  await fixture.answerLast(createAnswer(2));
  t.is(fixture.generation, 2);
});

test('a daemon that follows another one retries seldom while the store is down', async t => {
  const fixture = new Fixture();
  fixture.isStoreReader = false;
  await fixture.answerLast(createAnswer(1));
  for (let passedMs = 0; passedMs < 10_000; passedMs += 100) {
    await fixture.answerLast(E.left(UNAVAILABLE));
    fixture.system.shift(100);
  }
  t.true(fixture.calls.length <= 12, `${fixture.calls.length} calls`);
});
