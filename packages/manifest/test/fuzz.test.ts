/**
 * Fuzzes the checks of manifests: whatever comes in, there is an answer, and every fault has a path.
 */
import test from 'ava';
import fc from 'fast-check';
import * as E from 'fp-ts/lib/Either.js';

import {checkManifest, formatFault} from '../src/check.js';

const OPTIONS = {seed: 20_261_204, numRuns: 1_000};

function hasAnswer(text: string): boolean {
  const checked = checkManifest(text);
  if (E.isRight(checked)) return true;
  return (
    checked.left.length > 0 &&
    checked.left.every(
      fault => fault.path.startsWith('$') && formatFault(fault).endsWith('.'),
    )
  );
}

test('any text has an answer', t => {
  fc.assert(fc.property(fc.string({unit: 'binary'}), hasAnswer), OPTIONS);
  t.pass();
});

test('any JSON has an answer', t => {
  fc.assert(fc.property(fc.json(), hasAnswer), OPTIONS);
  t.pass();
});

test('any damage to a good manifest has an answer', t => {
  const service = fc.record(
    {
      division: fc.oneof(fc.constant('byKey'), fc.jsonValue()),
      slicesPerServer: fc.oneof(fc.integer(), fc.double(), fc.jsonValue()),
      kinds: fc.array(
        fc.record(
          {
            name: fc.oneof(fc.constant('read'), fc.jsonValue()),
            match: fc.jsonValue(),
            idempotent: fc.oneof(fc.boolean(), fc.jsonValue()),
            deadlineMs: fc.oneof(fc.integer(), fc.jsonValue()),
          },
          {requiredKeys: []},
        ),
      ),
    },
    {requiredKeys: []},
  );
  const manifest = fc.record({services: fc.dictionary(fc.string(), service)});
  fc.assert(
    fc.property(manifest, value => hasAnswer(JSON.stringify(value))),
    OPTIONS,
  );
  t.pass();
});
