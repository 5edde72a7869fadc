/**
 * What outcomes of attempts say about hosts.
 */
import test from 'ava';

import {judgeAnswer, judgeFailure} from '../src/attempt_end.js';

test('refusals for load are no failures, and a caller that leaves tells only how long it waited', t => {
  t.is(judgeFailure('DD3011'), 'refused');
  t.is(judgeFailure('DD3012'), 'refused');
  t.is(judgeFailure('DD3009'), 'failed');
  t.is(judgeFailure('DD3022'), 'abandoned');
  t.is(judgeFailure('DD3013'), 'neutral');
  t.is(judgeAnswer(404, false), 'answered');
  t.is(judgeAnswer(200, true), 'failed');
  t.is(judgeAnswer(500, false), 'failed');
});
