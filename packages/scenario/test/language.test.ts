/**
 * Parsing of the scenario language, and the scenarios that it rejects.
 */
import test from 'ava';

import {parseScripts, ScriptError} from '../src/parse_script.js';

const SETUP_STEPS = `
Feature: f
  Scenario: s
    Given a service menu divided by key on 5 hosts in 3 data centres
    And 50 requests a second over 10 keys for 4 s
`;

test('a scenario is parsed into a script', t => {
  const source = `${SETUP_STEPS}
    When at 1 s the daemon on menu-1 freezes
    And at 1.5 s host menu-1 continues
    And at 2 s nothing arrives from host menu-2
    And at 3 s two operators apply different manifests
    Then every key has one owner at a time
    And accepted manifests are in force for good
    And every request completes from 1.5 s after the last event`;
  t.snapshot(parseScripts(source));
});

test('unknown, late and ineffective steps are rejected', t => {
  const parse = (step: string) => () =>
    parseScripts(`${SETUP_STEPS}    ${step}\n`);
  const refused = [
    'When at 1 s the moon rises',
    'When at 5 s host menu-1 freezes',
    'Then what leaves gets no new work',
  ].map(step => t.throws(parse(step), {instanceOf: ScriptError})?.message);
  t.snapshot(refused);
});
