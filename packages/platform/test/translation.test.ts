/**
 * Tests of the translation of configurations, heartbeats, headers and settings, including fuzzed input.
 */
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import test from 'ava';
import fc from 'fast-check';
import * as E from 'fp-ts/lib/Either.js';

import {PlatformProtocol} from '../src/callers.js';
import {translateConfiguration} from '../src/configuration.js';
import {parseHeartbeat} from '../src/heartbeats.js';
import {readPlatformSettings} from '../src/settings.js';
import {CONFIGURATION, HEARTBEAT, SETTINGS} from './examples.js';

const protocol = new PlatformProtocol();

function writeSettings(text: string): string {
  const path = join(mkdtempSync(join(tmpdir(), 'dottereldrift-')), 's.json');
  writeFileSync(path, text);
  return path;
}

test('a configuration is translated into a manifest', t => {
  t.snapshot(translateConfiguration(CONFIGURATION, 412));
});

test('faults in a configuration name the field, the value found and the values allowed', t => {
  const [first] = CONFIGURATION.resources;
  const broken = {...first, spec: {...first?.spec, timeout_ms: 'soon'}};
  t.snapshot(
    translateConfiguration({version: '0000000c', resources: [broken]}, 1),
  );
});

test('a heartbeat is decoded and translated', t => {
  t.snapshot(parseHeartbeat(HEARTBEAT, 'i-1'));
});

test('a heartbeat without a list of held keys differs from one with an empty list', t => {
  const {holds, ...rest} = HEARTBEAT;
  t.true(holds.length > 0);
  const parsed = parseHeartbeat(rest, 'i-1');
  t.true(E.isRight(parsed));
  t.is(E.isRight(parsed) ? parsed.right.report : null, undefined);
});

test('a heartbeat with any value in any field is accepted or rejected without throwing', t => {
  const names = Object.keys(HEARTBEAT);
  fc.assert(
    fc.property(fc.constantFrom(...names), fc.jsonValue(), (name, value) => {
      const parsed = parseHeartbeat({...HEARTBEAT, [name]: value}, 'i-1');
      if (E.isLeft(parsed)) return parsed.left.length > 0;
      const {info, sequence, report} = parsed.right;
      return (
        Number.isInteger(info.slots) &&
        info.slots >= 1 &&
        Number.isInteger(sequence) &&
        report !== undefined &&
        report.held.every(row => Number.isInteger(row.token))
      );
    }),
  );
  t.true(E.isLeft(parseHeartbeat('bytes', 'i-1')));
  t.true(E.isLeft(parseHeartbeat({...HEARTBEAT, state: 'unheard'}, 'i-1')));
});

test('translating an arbitrary value as a configuration does not throw', t => {
  fc.assert(
    fc.property(fc.jsonValue(), fc.jsonValue(), (resources, body) => {
      translateConfiguration(body, 1);
      translateConfiguration({version: '01', resources: [resources]}, 1);
    }),
  );
  t.pass();
});

test('only a misdirected or marked response counts as not run', t => {
  t.true(protocol.isServerRefusal(503, {'not-run': '1'}));
  t.true(protocol.isServerRefusal(421, {}));
  t.false(protocol.isServerRefusal(503, {}));
  t.false(protocol.isServerRefusal(500, {}));
});

test('a response to another request, or without the server seal, is foreign', t => {
  const own = {'request-id': 'a', 'server-seal': 's'};
  t.false(protocol.isForeignAnswer(200, own, 'a'));
  t.true(protocol.isForeignAnswer(200, own, 'b'));
  t.true(protocol.isForeignAnswer(200, {'request-id': 'a'}, 'a'));
  t.true(protocol.isForeignAnswer(200, {'server-seal': 's'}, 'a'));
  t.true(
    protocol.isForeignAnswer(200, {...own, 'content-encoding': 'gzip'}, 'a'),
  );
  t.false(protocol.isForeignAnswer(503, {'not-run': '1'}, 'a'));
  t.false(protocol.isIdentified({'not-run': '1'}));
  t.false(protocol.isForeignAnswer(500, own, 'a'));
  t.true(protocol.isForeignAnswer(500, own, 'b'));
  t.true(protocol.isForeignAnswer(500, {}, 'a'));
  t.false(protocol.isForeignAnswer(500, {}, ''));
});

test('the status tells callers whether their request was run', t => {
  const create = (status: number, outcome: 'not-run' | 'unknown') =>
    protocol.createProblemHead({status, outcome, retryAfterMs: 250});
  t.deepEqual(create(429, 'not-run'), {
    status: 503,
    headers: {'retry-after': '0.250'},
  });
  t.is(create(503, 'unknown').status, 502);
  t.is(create(504, 'unknown').status, 504);
  t.is(create(504, 'not-run').status, 503);
  t.is(create(404, 'not-run').status, 404);
});

test('settings are translated', t => {
  const read = readPlatformSettings(writeSettings(JSON.stringify(SETTINGS)));
  t.snapshot(read);
});

test('faults in the settings name the field, the value found and the values allowed', t => {
  const text = JSON.stringify({...SETTINGS, app_addr: 'here', service: 7});
  t.snapshot(readPlatformSettings(writeSettings(text)));
  t.true(E.isLeft(readPlatformSettings(writeSettings('{'))));
  t.true(E.isLeft(readPlatformSettings('/none')));
});
