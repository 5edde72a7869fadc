/**
 * Guards against checks that miss violations: with one rule of the daemons or servers disabled, a scenario that
 * otherwise passes must report the promise that depends on the rule as broken.
 */
import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';

import type {AttemptResult} from '@dottereldrift/daemon/exchange.js';
import {ASSIGNMENT_PREFIX} from '@dottereldrift/ownership/assignment_record.js';
import type {MemoryStore} from '@dottereldrift/store/memory_store.js';

import {findBrokenPromises} from '../src/evidence.js';
import {readScripts} from '../src/parse_script.js';
import type {PromiseName} from '../src/script.js';
import type {VirtualDaemon} from '../src/virtual_daemon.js';
import {runVirtually, type VirtualRunOptions} from '../src/virtual_run.js';

/** A rule to disable and the promise that must break without it. */
interface BrokenRule {
  readonly rule: string;
  readonly promise: PromiseName;
  readonly scenario: string;
  readonly options: Omit<VirtualRunOptions, 'seed'>;
}

/** At least one of these seeds must break the promise. */
const SEEDS = [1, 2, 3];

const BROKEN_RULES: readonly BrokenRule[] = [
  {
    rule: 'the lease is checked by the owner, and the grant by owner and server',
    promise: 'one-owner',
    scenario: 'a host is cut off',
    options: {
      isFencing: false,
      onDaemon: daemon => {
        const {sessionManager, registry} = daemon.getParts();
        sessionManager.isHeld = () => true;
        registry.isGranted = () => true;
      },
    },
  },
  {
    rule: 'an owner detects duplicates of a request',
    promise: 'at-most-once',
    scenario: 'a host hears and is not heard',
    options: {onDaemon: runDuplicates},
  },
  {
    rule: 'a lost answer is reported as unknown',
    promise: 'not-run',
    scenario: 'a host hears and is not heard',
    options: {onDaemon: answerUnknownAsNotRun},
  },
  {
    rule: 'callers get the answer to their own request',
    promise: 'own-answer',
    scenario: 'two operators apply at once',
    options: {onDaemon: setWrongAnswers},
  },
  {
    rule: 'an owner refuses work for a server that is leaving',
    promise: 'leaving',
    scenario: 'a host is cut off from the store only',
    options: {
      onDaemon: daemon => {
        daemon.getParts().registry.isAccepting = () => true;
      },
    },
  },
  {
    rule: 'a shutdown waits for requests in flight',
    promise: 'graceful-shutdown',
    scenario: 'two operators apply at once',
    options: {
      onDaemon: daemon => {
        daemon.stop = () => Promise.resolve();
      },
    },
  },
  {
    rule: 'an accepted manifest is applied',
    promise: 'configuration',
    scenario: 'two operators apply at once',
    options: {onDaemon: keepFirstManifest},
  },
  {
    rule: 'an acknowledged assignment is kept by the store',
    promise: 'assignment-survives',
    scenario: 'a host is lost',
    options: {onStore: dropAssignments},
  },
];

for (const {rule, promise, scenario, options} of BROKEN_RULES) {
  test(`${promise} is reported as broken unless ${rule}`, async t => {
    const script = readScripts().find(other => other.name === scenario);
    if (script === undefined)
      throw new Error(`There is no scenario "${scenario}".`);
    let isDetected = false;
    for (const seed of SEEDS) {
      if (isDetected) break;
      const evidence = await runVirtually(script, {seed, ...options});
      const broken = findBrokenPromises(script, evidence);
      isDetected = broken.some(line => line.startsWith(`${promise}:`));
    }
    t.true(isDetected);
  });
}

function runDuplicates(daemon: VirtualDaemon): void {
  const owner = daemon.getParts().owner as unknown as Record<string, unknown>;
  owner['runOnce'] = owner['runInSlot'];
}

function answerUnknownAsNotRun(daemon: VirtualDaemon): void {
  const {entry} = daemon.getParts();
  const handle = entry.handle.bind(entry);
  entry.handle = async (exchange): Promise<AttemptResult> => {
    const result = await handle(exchange);
    if (result.kind === 'answered') return result;
    return {kind: 'failed', failure: {...result.failure, outcome: 'not-run'}};
  };
}

function setWrongAnswers(daemon: VirtualDaemon): void {
  const serve = daemon.serveCaller.bind(daemon);
  let previous = '';
  daemon.serveCaller = async createExchange => {
    const answer = await serve(createExchange);
    const body = previous;
    previous = answer.body;
    return {...answer, body};
  };
}

function keepFirstManifest(daemon: VirtualDaemon): void {
  const {view} = daemon.getParts();
  const getManifest = view.getManifest.bind(view);
  let first = getManifest();
  view.getManifest = () => {
    first ??= getManifest();
    return first;
  };
}

function dropAssignments(memory: MemoryStore): void {
  const update = memory.updateObject.bind(memory);
  memory.updateObject = (key, expectedVersion, value) =>
    key.startsWith(ASSIGNMENT_PREFIX)
      ? () => Promise.resolve(E.right(expectedVersion + 1))
      : update(key, expectedVersion, value);
}
