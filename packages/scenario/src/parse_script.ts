/**
 * Reads scenarios from feature files.
 */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {
  AstBuilder,
  compile,
  GherkinClassicTokenMatcher,
  Parser,
} from '@cucumber/gherkin';
import {IdGenerator} from '@cucumber/messages';

import type {Promised, Script} from './script.js';
import {type Draft, tryApplyStep} from './steps.js';

/** A feature file that cannot be understood. */
export class ScriptError extends Error {
  override readonly name = 'ScriptError';
}

/** Directory of the feature files. */
export const FEATURES_DIRECTORY = fileURLToPath(
  new URL('../../features/', import.meta.url),
);

const PROCESS_TAG = '@process';

/** Actions without one of which a promise holds of itself. */
const REQUIRED_ACTIONS: ReadonlyMap<Promised, readonly string[]> = new Map([
  ['leaving', ['drain', 'server-leaves', 'shutdown']],
  ['graceful-shutdown', ['shutdown']],
  ['configuration', ['apply', 'race']],
]);

/** Reads every scenario, in the order of the files. */
export function readScripts(directory = FEATURES_DIRECTORY): readonly Script[] {
  const files = readdirSync(directory).filter(name =>
    name.endsWith('.feature'),
  );
  return files
    .sort()
    .flatMap(name => parseScripts(readFileSync(join(directory, name), 'utf8')));
}

/** Parses the scenarios of one feature; throws a ScriptError for what it does not know. */
export function parseScripts(source: string): readonly Script[] {
  const newId = IdGenerator.incrementing();
  const builder = new AstBuilder(newId);
  const parser = new Parser(builder, new GherkinClassicTokenMatcher());
  const pickles = compile(parser.parse(source), '', newId);
  return pickles.map(pickle => {
    const tags = pickle.tags.map(tag => tag.name);
    const draft = createDraft(pickle.name, tags.includes(PROCESS_TAG));
    for (const {text} of pickle.steps) {
      if (!tryApplyStep(draft, text))
        throw new ScriptError(`${pickle.name}: "${text}" is not known.`);
    }
    checkDraft(draft);
    return draft;
  });
}

function createDraft(name: string, isForProcesses: boolean): Draft {
  return {
    name,
    isForProcesses,
    service: '',
    hosts: 0,
    dataCentres: 0,
    requestsPerSecond: 0,
    keys: 0,
    durationMs: 0,
    actions: [],
    promises: [],
    recoveryMs: undefined,
  };
}

function checkDraft(draft: Draft): void {
  const {name, actions, promises, durationMs} = draft;
  if (draft.hosts === 0 || draft.requestsPerSecond === 0)
    throw new ScriptError(`${name}: there are no hosts or no traffic.`);
  const late = actions.find(({atMs}) => atMs > durationMs);
  if (late !== undefined)
    throw new ScriptError(`${name}: "${late.text}" is after the end.`);
  for (const promise of promises) {
    const required = REQUIRED_ACTIONS.get(promise);
    const isShown =
      required === undefined ||
      actions.some(({action}) => required.includes(action.kind));
    if (!isShown)
      throw new ScriptError(`${name}: nothing happens that shows ${promise}.`);
  }
}
