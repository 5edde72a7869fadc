/**
 * Step definitions of the scenario language.
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
  type PromiseName,
  type Script,
} from './script.js';

/** A mutable script that parsing fills in step by step. */
export type ScriptDraft = {-readonly [Name in keyof Script]: Script[Name]};

type StepArguments = readonly unknown[];

/** A step definition: the expression that matches a step and its effect on the script. */
interface Step {
  readonly expression: CucumberExpression;
  readonly apply: (
    draft: ScriptDraft,
    text: string,
    args: StepArguments,
  ) => void;
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
  createActionStep('{part} {name} is killed', ([part, host]) => ({
    kind: 'kill',
    part: part as HostPart,
    host: String(host),
  })),
  createActionStep('host {name} starts again', ([host]) => ({
    kind: 'start',
    host: String(host),
  })),
  createActionStep('{part} {name} freezes', ([part, host]) => ({
    kind: 'freeze',
    part: part as HostPart,
    host: String(host),
  })),
  createActionStep('host {name} continues', ([host]) => ({
    kind: 'continue',
    host: String(host),
  })),
  createActionStep('host {name} is cut off', ([host]) => ({
    kind: 'cut',
    host: String(host),
    lost: 'both',
  })),
  createActionStep('host {name} receives nothing', ([host]) => ({
    kind: 'cut',
    host: String(host),
    lost: 'incoming',
  })),
  createActionStep('nothing arrives from host {name}', ([host]) => ({
    kind: 'cut',
    host: String(host),
    lost: 'outgoing',
  })),
  createActionStep('host {name} is cut off from the store', ([host]) => ({
    kind: 'cut-store',
    host: String(host),
  })),
  createActionStep('traffic of host {name} takes {int} ms longer', args => ({
    kind: 'delay',
    host: String(args[0]),
    delayMs: Number(args[1]),
  })),
  createActionStep('every path is restored', () => ({kind: 'restore'})),
  createActionStep('the store goes down', () => ({
    kind: 'store-outage',
    isOut: true,
  })),
  createActionStep('the store comes back', () => ({
    kind: 'store-outage',
    isOut: false,
  })),
  createActionStep('the store loses the answers to writes', () => ({
    kind: 'store-lost-answers',
    isLosing: true,
  })),
  createActionStep('the store answers writes again', () => ({
    kind: 'store-lost-answers',
    isLosing: false,
  })),
  createActionStep('the store takes {int} ms to write', ([delayMs]) => ({
    kind: 'store-write-delay',
    delayMs: Number(delayMs),
  })),
  createActionStep('two operators apply different manifests', () => ({
    kind: 'race',
  })),
  createActionStep('an operator applies a manifest', () => ({kind: 'apply'})),
  createActionStep('host {name} is drained', ([host]) => ({
    kind: 'drain',
    host: String(host),
  })),
  createActionStep('the server on {name} leaves', ([host]) => ({
    kind: 'server-leaves',
    host: String(host),
  })),
  createActionStep('the daemon on {name} shuts down', ([host]) => ({
    kind: 'shutdown',
    host: String(host),
  })),
  createActionStep('one in {int} requests is for one key', ([oneIn]) => ({
    kind: 'hot-key',
    oneIn: Number(oneIn),
  })),
  createStep('every promise holds', draft => {
    draft.promises = PROMISES;
  }),
  createPromiseStep('every key has one owner at a time', 'one-owner'),
  createPromiseStep(
    'no acknowledged assignment is lost',
    'assignment-survives',
  ),
  createPromiseStep('every caller gets its own whole answer', 'own-answer'),
  createPromiseStep('no request that is told not-run was run', 'not-run'),
  createPromiseStep('no non-idempotent request runs twice', 'at-most-once'),
  createPromiseStep('what leaves gets no new work', 'leaving'),
  createPromiseStep('no shutdown cuts off a request', 'graceful-shutdown'),
  createPromiseStep(
    'accepted manifests are in force for good',
    'configuration',
  ),
  createStep(
    'every request completes from {float} s after the last event',
    (draft, _text, [seconds]) => {
      draft.recoveryMs = Number(seconds) * MS_PER_SECOND;
    },
  ),
];

/** Applies a step to a draft; returns false if no step definition matches the text. */
export function tryApplyStep(draft: ScriptDraft, text: string): boolean {
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

function createActionStep(
  source: string,
  create: (args: StepArguments) => Action,
): Step {
  return createStep(`at {float} s ${source}`, (draft, text, args) => {
    const atMs = Number(args[0]) * MS_PER_SECOND;
    const scheduled = {atMs, text, action: create(args.slice(1))};
    draft.actions = [...draft.actions, scheduled];
  });
}

function createPromiseStep(source: string, promise: PromiseName): Step {
  return createStep(source, draft => {
    draft.promises = [...draft.promises, promise];
  });
}
