/**
 * The sentences of the scenario language and what each of them means.
 */
import {
  CucumberExpression,
  ParameterType,
  ParameterTypeRegistry,
} from '@cucumber/cucumber-expressions';

import {
  type Action,
  type HostPart,
  PROMISES,
  type Promised,
  type Script,
} from './script.js';

/** A script under construction. */
export type Draft = {-readonly [Name in keyof Script]: Script[Name]};

type Args = readonly unknown[];

/** One sentence of the language. */
interface Step {
  readonly expression: CucumberExpression;
  readonly apply: (draft: Draft, text: string, args: Args) => void;
}

const MS_PER_SECOND = 1_000;

const registry = createRegistry();

const STEPS: readonly Step[] = [
  createStep(
    'a service {word} divided by key on {int} hosts in {int} data centre(s)',
    (draft, _text, [service, hosts, dataCentres]) => {
      draft.service = String(service);
      draft.hosts = Number(hosts);
      draft.dataCentres = Number(dataCentres);
    },
  ),
  createStep(
    '{int} requests a second over {int} keys for {float} s',
    (draft, _text, [rate, keys, seconds]) => {
      draft.requestsPerSecond = Number(rate);
      draft.keys = Number(keys);
      draft.durationMs = Number(seconds) * MS_PER_SECOND;
    },
  ),
  createAction('{part} {name} is killed', ([part, host]) => ({
    kind: 'kill',
    part: part as HostPart,
    host: String(host),
  })),
  createAction('host {name} starts again', ([host]) => ({
    kind: 'start',
    host: String(host),
  })),
  createAction('{part} {name} freezes', ([part, host]) => ({
    kind: 'freeze',
    part: part as HostPart,
    host: String(host),
  })),
  createAction('host {name} continues', ([host]) => ({
    kind: 'continue',
    host: String(host),
  })),
  createAction('host {name} is cut off', ([host]) => ({
    kind: 'cut',
    host: String(host),
    lost: 'both',
  })),
  createAction('host {name} receives nothing', ([host]) => ({
    kind: 'cut',
    host: String(host),
    lost: 'incoming',
  })),
  createAction('nothing arrives from host {name}', ([host]) => ({
    kind: 'cut',
    host: String(host),
    lost: 'outgoing',
  })),
  createAction('host {name} is cut off from the store', ([host]) => ({
    kind: 'cut-store',
    host: String(host),
  })),
  createAction('traffic of host {name} takes {int} ms longer', args => ({
    kind: 'delay',
    host: String(args[0]),
    delayMs: Number(args[1]),
  })),
  createAction('every path is restored', () => ({kind: 'restore'})),
  createAction('the store goes down', () => ({
    kind: 'store-outage',
    isOut: true,
  })),
  createAction('the store comes back', () => ({
    kind: 'store-outage',
    isOut: false,
  })),
  createAction('the store loses the answers to writes', () => ({
    kind: 'store-lost-answers',
    isLosing: true,
  })),
  createAction('the store answers writes again', () => ({
    kind: 'store-lost-answers',
    isLosing: false,
  })),
  createAction('the store takes {int} ms to write', ([delayMs]) => ({
    kind: 'store-write-delay',
    delayMs: Number(delayMs),
  })),
  createAction('two operators apply different manifests', () => ({
    kind: 'race',
  })),
  createAction('an operator applies a manifest', () => ({kind: 'apply'})),
  createAction('host {name} is drained', ([host]) => ({
    kind: 'drain',
    host: String(host),
  })),
  createAction('the server on {name} leaves', ([host]) => ({
    kind: 'server-leaves',
    host: String(host),
  })),
  createAction('the daemon on {name} shuts down', ([host]) => ({
    kind: 'shutdown',
    host: String(host),
  })),
  createAction('one in {int} requests is for one key', ([oneIn]) => ({
    kind: 'hot-key',
    oneIn: Number(oneIn),
  })),
  createStep('every promise holds', draft => {
    draft.promises = PROMISES;
  }),
  createPromise('every key has one owner at a time', 'one-owner'),
  createPromise('no acknowledged assignment is lost', 'assignment-survives'),
  createPromise('every caller gets its own whole answer', 'own-answer'),
  createPromise('no request that is told not-run was run', 'not-run'),
  createPromise('no non-idempotent request runs twice', 'at-most-once'),
  createPromise('what leaves gets no new work', 'leaving'),
  createPromise('no shutdown cuts off a request', 'graceful-shutdown'),
  createPromise('accepted manifests are in force for good', 'configuration'),
  createStep(
    'every request completes from {float} s after the last event',
    (draft, _text, [seconds]) => {
      draft.recoveryMs = Number(seconds) * MS_PER_SECOND;
    },
  ),
];

/** Adds what a sentence means to a draft; false when no sentence of the language matches. */
export function tryApplyStep(draft: Draft, text: string): boolean {
  for (const {expression, apply} of STEPS) {
    const args = expression.match(text);
    if (args === null) continue;
    const values = args.map(arg => arg.getValue<unknown>(undefined));
    apply(draft, text, values);
    return true;
  }
  return false;
}

function createRegistry(): ParameterTypeRegistry {
  const types = new ParameterTypeRegistry();
  const part = /host|the daemon on|the server on/;
  types.defineParameterType(
    new ParameterType('part', part, String, parsePart, false),
  );
  const name = /[a-z]+-[0-9]+/;
  types.defineParameterType(
    new ParameterType('name', name, String, (text: string) => text, false),
  );
  return types;
}

function parsePart(text: string): HostPart {
  if (text === 'host') return 'host';
  return text === 'the daemon on' ? 'daemon' : 'server';
}

function createStep(source: string, apply: Step['apply']): Step {
  return {expression: new CucumberExpression(source, registry), apply};
}

function createAction(source: string, create: (args: Args) => Action): Step {
  return createStep(`at {float} s ${source}`, (draft, text, args) => {
    const atMs = Number(args[0]) * MS_PER_SECOND;
    const scheduled = {atMs, text, action: create(args.slice(1))};
    draft.actions = [...draft.actions, scheduled];
  });
}

function createPromise(source: string, promise: Promised): Step {
  return createStep(source, draft => {
    draft.promises = [...draft.promises, promise];
  });
}
