/**
 * Tests the classification of attempts by what they say about hosts.
 */
import test from 'ava';

import {classifyAnswer, classifyFailure} from '../src/attempt_end.js';

test('refusals for load and disconnected callers are not classified as failures', t => {
  t.is(classifyFailure('DD3011'), 'refused');
  t.is(classifyFailure('DD3012'), 'refused');
  t.is(classifyFailure('DD3009'), 'failed');
  t.is(classifyFailure('DD3022'), 'abandoned');
  t.is(classifyFailure('DD3013'), 'neutral');
  t.is(classifyAnswer(404, false), 'answered');
  t.is(classifyAnswer(200, true), 'failed');
  t.is(classifyAnswer(500, false), 'failed');
});
