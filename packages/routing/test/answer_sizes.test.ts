/**
 * Tests the cost factor of remote hosts by answer size, and its effect on downloads while the local host is
 * under load.
 */
import test from 'ava';

import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';

import {AnswerSizes} from '../src/answer_sizes.js';
import {HostSelector} from '../src/host_selector.js';

const KIBIBYTE = 1_024;

function getCostFactor(bytes: number): number {
  const sizes = new AnswerSizes();
  sizes.observe('download', bytes);
  return sizes.getRemoteCostFactor('download');
}

test('the cost factor grows with the size of the answers, up to a limit', t => {
  t.is(new AnswerSizes().getRemoteCostFactor('unknown'), 2);
  t.true(getCostFactor(KIBIBYTE) < 3);
  t.true(getCostFactor(90 * KIBIBYTE) > 20);
  t.is(getCostFactor(10_000 * KIBIBYTE), 32);
});

test('downloads go to the local host until it refuses, and then to a remote one', t => {
  const system = new VirtualSystem(() => 0.5);
  const choice = new HostSelector(system);
  const hosts = [
    {host: 'near', slots: 6, distance: 1},
    {host: 'far', slots: 6, distance: getCostFactor(90 * KIBIBYTE)},
  ];
  for (const {host} of hosts) choice.startAttempt(host)('answered');
  for (let running = 0; running < 12; running++) {
    const chosen = choice.choose(hosts);
    t.is(chosen, 'near', `${running} in flight`);
    choice.startAttempt('near');
  }
  // A request that the local host refuses is offered to the other hosts immediately.
  t.is(choice.choose(hosts, new Set(['near'])), 'far');
});
