/**
 * Fuzzes manifest validation: every input is either accepted or rejected with errors that have a path.
 */
import test from 'ava';
import fc from 'fast-check';
import * as E from 'fp-ts/lib/Either.js';

import {checkManifest, formatValidationError} from '../src/check.js';

const OPTIONS = {seed: 20_261_204, numRuns: 1_000};

function hasValidResult(text: string): boolean {
  const checked = checkManifest(text);
  if (E.isRight(checked)) return true;
  return (
    checked.left.length > 0 &&
    checked.left.every(
      fault =>
        fault.path.startsWith('$') &&
        formatValidationError(fault).endsWith('.'),
    )
  );
}

test('validation returns a result for any text', t => {
  fc.assert(fc.property(fc.string({unit: 'binary'}), hasValidResult), OPTIONS);
  t.pass();
});

test('validation returns a result for any JSON', t => {
  fc.assert(fc.property(fc.json(), hasValidResult), OPTIONS);
  t.pass();
});

test('validation returns a result for any partly invalid manifest', t => {
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
    fc.property(manifest, value => hasValidResult(JSON.stringify(value))),
    OPTIONS,
  );
  t.pass();
});
