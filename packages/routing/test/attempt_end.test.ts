/**
 * Tests the classification of attempts by what they say about hosts.
 */
import test from 'ava';

import {judgeAnswer, judgeFailure} from '../src/attempt_end.js';

test('refusals for load and disconnected callers are not classified as failures', t => {
  t.is(judgeFailure('DD3011'), 'refused');
  t.is(judgeFailure('DD3012'), 'refused');
  t.is(judgeFailure('DD3009'), 'failed');
  t.is(judgeFailure('DD3022'), 'abandoned');
  t.is(judgeFailure('DD3013'), 'neutral');
  t.is(judgeAnswer(404, false), 'answered');
  t.is(judgeAnswer(200, true), 'failed');
  t.is(judgeAnswer(500, false), 'failed');
});
