/**
 * Reads scenarios from Gherkin feature files.
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

import type {PromiseName, Script} from './script.js';
import {type ScriptDraft, tryApplyStep} from './steps.js';

/** Reports an invalid scenario in a feature file. */
export class ScriptError extends Error {
  override readonly name = 'ScriptError';
}

/** Default directory of the feature files. */
export const FEATURES_DIRECTORY = fileURLToPath(
  new URL('../../features/', import.meta.url),
);

const PROCESS_TAG = '@process';

/** For promises that hold trivially otherwise: the kinds of action of which a scenario needs at least one. */
const REQUIRED_ACTIONS: ReadonlyMap<PromiseName, readonly string[]> = new Map([
  ['leaving', ['drain', 'server-leaves', 'shutdown']],
  ['graceful-shutdown', ['shutdown']],
  ['configuration', ['apply', 'race']],
]);

/** Reads all scenarios, ordered by file name. */
export function readScripts(directory = FEATURES_DIRECTORY): readonly Script[] {
  const files = readdirSync(directory).filter(name =>
    name.endsWith('.feature'),
  );
  return files
    .sort()
    .flatMap(name => parseScripts(readFileSync(join(directory, name), 'utf8')));
}

/** Parses the scenarios of one feature; throws a ScriptError for unknown steps and invalid scenarios. */
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

function createDraft(name: string, isForProcesses: boolean): ScriptDraft {
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

function checkDraft(draft: ScriptDraft): void {
  const {name, actions, promises, durationMs} = draft;
  if (draft.hosts === 0 || draft.requestsPerSecond === 0)
    throw new ScriptError(`${name}: there are no hosts or no traffic.`);
  const lateAction = actions.find(({atMs}) => atMs > durationMs);
  if (lateAction !== undefined)
    throw new ScriptError(`${name}: "${lateAction.text}" is after the end.`);
  for (const promise of promises) {
    const required = REQUIRED_ACTIONS.get(promise);
    const isShown =
      required === undefined ||
      actions.some(({action}) => required.includes(action.kind));
    if (!isShown)
      throw new ScriptError(`${name}: nothing happens that shows ${promise}.`);
  }
}
