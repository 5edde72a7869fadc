/**
 * Tests the choice of coordinators, which every daemon makes many times a second.
 */
import test from 'ava';

import type {Member} from '@dottereldrift/core/types.js';

import {chooseCoordinator} from '../src/coordinator_choice.js';

const HOSTS = 200;

/** Members that count how often they are read. */
class CountedMembers {
  reads = 0;
  readonly list: readonly Member[] = Array.from({length: HOSTS}, (_, index) => {
    const count = () => {
      this.reads += 1;
    };
    return {
      host: `h${index}`,
      get incarnation() {
        count();
        return 'a';
      },
    };
  });
}

test('a choice is made once for each list of members and subject', t => {
  const members = new CountedMembers();
  const first = chooseCoordinator('menu', members.list);
  t.is(members.reads, HOSTS);
  t.is(chooseCoordinator('menu', members.list), first);
  t.is(members.reads, HOSTS);
  chooseCoordinator('pedidos', members.list);
  t.is(members.reads, 2 * HOSTS);
});

test('the loss of a member changes only the choices that had it', t => {
  const {list} = new CountedMembers();
  const subjects = Array.from({length: 50}, (_, index) => `service-${index}`);
  const lost = chooseCoordinator('service-0', list);
  const left = list.filter(member => member !== lost);
  for (const subject of subjects) {
    const before = chooseCoordinator(subject, list);
    const after = chooseCoordinator(subject, left);
    if (before === lost) t.not(after, lost);
    else t.is(after, before);
  }
});
