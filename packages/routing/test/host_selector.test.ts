/**
 * Tests load balancing among hosts, in virtual time and with seeded random numbers.
 */
import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';

import {HostSelector, type ServingHost} from '../src/host_selector.js';

const SEED = 20_263;
const DRAWS = 1_000;

function createSystem(seed = SEED): VirtualSystem {
  const generator = xoroshiro128plus(seed);
  return new VirtualSystem(() => uniformFloat64(generator));
}

function createHosts(...names: readonly string[]): readonly ServingHost[] {
  return names.map(host => ({host, slots: 6}));
}

/** Chooses a host `DRAWS` times without starting attempts, and counts the choices by host. */
function countChoices(
  choice: HostSelector,
  hosts: readonly ServingHost[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (let draw = 0; draw < DRAWS; draw++) {
    const host = choice.choose(hosts) ?? 'none';
    counts[host] = (counts[host] ?? 0) + 1;
  }
  return counts;
}

function failOften(choice: HostSelector, host: string): void {
  for (let count = 0; count < 5; count++) choice.startAttempt(host)('failed');
}

test('without hosts no host is chosen', t => {
  t.is(new HostSelector(createSystem()).choose([]), undefined);
});

test('equal hosts get equal shares', t => {
  const choice = new HostSelector(createSystem());
  const counts = countChoices(choice, createHosts('a', 'b', 'c'));
  for (const count of Object.values(counts))
    t.true(Math.abs(count - DRAWS / 3) < DRAWS / 15, String(count));
});

test('slots, requests in flight and latency affect the choice', t => {
  const system = createSystem();
  const slots = new HostSelector(system);
  const uneven = [
    {host: 'a', slots: 3},
    {host: 'b', slots: 9},
  ];
  t.is(countChoices(slots, uneven)['b'], DRAWS);
  const hosts = createHosts('a', 'b');
  const busy = new HostSelector(system);
  busy.startAttempt('a');
  t.is(countChoices(busy, hosts)['b'], DRAWS);
  const slow = new HostSelector(system);
  const end = slow.startAttempt('a');
  system.runUntil(100);
  end('answered');
  t.is(countChoices(slow, hosts)['b'], DRAWS);
});

test('a slow host is tried again once its latency has decayed', t => {
  const system = createSystem();
  const choice = new HostSelector(system);
  const hosts = createHosts('a', 'b');
  const end = choice.startAttempt('a');
  system.runUntil(100);
  end('answered');
  system.runUntil(30_000);
  t.true((countChoices(choice, hosts)['a'] ?? 0) > DRAWS / 3);
});

test('a remote host with few requests does not appear to be the fastest', t => {
  const system = createSystem();
  const choice = new HostSelector(system);
  const hosts = [
    {host: 'near', slots: 6, distance: 1},
    {host: 'far', slots: 6, distance: 6},
  ];
  const counts = {near: 0, far: 0};
  for (let nowMs = 0; nowMs < 60_000; nowMs += 400) {
    system.runUntil(nowMs);
    const host = choice.choose(hosts) ?? '';
    const end = choice.startAttempt(host);
    system.runUntil(nowMs + 50);
    end('answered');
    counts[host as 'near' | 'far'] += 1;
  }
  // A host without observations is tried once.
  t.true(counts.far <= 1, JSON.stringify(counts));
});

test('refusals for load raise the cost of a host and decay', t => {
  const system = createSystem();
  const choice = new HostSelector(system);
  const hosts = createHosts('a', 'b');
  choice.startAttempt('a')('refused');
  t.is(countChoices(choice, hosts)['b'], DRAWS);
  system.runUntil(60_000);
  choice.startAttempt('b')('refused');
  t.is(countChoices(choice, hosts)['a'], DRAWS);
});

test('a failing host is ejected, and then probed by one request', t => {
  const system = createSystem();
  const choice = new HostSelector(system);
  const hosts = createHosts('a', 'b', 'c');
  choice.choose(hosts);
  failOften(choice, 'a');
  t.is(countChoices(choice, hosts)['a'], undefined);
  system.runUntil(7_000);
  t.true((countChoices(choice, hosts)['a'] ?? 0) > 0);
  const end = choice.startAttempt('a');
  t.is(countChoices(choice, hosts)['a'], undefined);
  end('answered');
  t.true((countChoices(choice, hosts)['a'] ?? 0) > 0);
});

test('at most half of the hosts are ejected', t => {
  const choice = new HostSelector(createSystem());
  const hosts = createHosts('a', 'b', 'c', 'd', 'e');
  choice.choose(hosts);
  for (const {host} of hosts) failOften(choice, host);
  t.is(Object.keys(countChoices(choice, hosts)).length, 3);
});

test('a new host starts with a small share', t => {
  const system = createSystem();
  const choice = new HostSelector(system);
  const measureNewHostShare = (hosts: readonly ServingHost[]) => {
    let newHostCount = 0;
    for (let draw = 0; draw < DRAWS; draw++) {
      const running = Array.from({length: 9}, () => {
        const host = choice.choose(hosts) ?? '';
        if (host === 'c') newHostCount += 1;
        return choice.startAttempt(host);
      });
      for (const end of running) end('answered');
    }
    return newHostCount / DRAWS / 9;
  };
  choice.choose(createHosts('a', 'b'));
  const hosts = createHosts('a', 'b', 'c');
  t.true(measureNewHostShare(hosts) < 0.15);
  system.runUntil(10_000);
  t.true(measureNewHostShare(hosts) > 0.25);
});

test('a retry goes to another host if there is one', t => {
  const choice = new HostSelector(createSystem());
  const hosts = createHosts('a', 'b');
  for (let draw = 0; draw < DRAWS; draw++)
    t.is(choice.choose(hosts, new Set(['a'])), 'b');
  t.is(choice.choose(createHosts('a'), new Set(['a'])), 'a');
});

test('a retry goes to an ejected host rather than to one that was tried', t => {
  const choice = new HostSelector(createSystem());
  const hosts = createHosts('a', 'b', 'c');
  failOften(choice, 'c');
  for (let draw = 0; draw < DRAWS; draw++)
    t.is(choice.choose(hosts, new Set(['a', 'b'])), 'c');
});

test('daemons with the same observations choose different hosts', t => {
  const hosts = createHosts('a', 'b', 'c', 'd');
  const counts: Record<string, number> = {};
  for (let daemon = 0; daemon < 400; daemon++) {
    const choice = new HostSelector(createSystem(SEED + daemon));
    choice.choose(hosts);
    choice.startAttempt('a')('refused');
    const host = choice.choose(hosts) ?? '';
    counts[host] = (counts[host] ?? 0) + 1;
  }
  t.is(counts['a'], undefined);
  for (const host of ['b', 'c', 'd'])
    t.true(Math.abs((counts[host] ?? 0) - 400 / 3) < 40, host);
});

test('a host whose callers disconnect without an answer gets few requests', t => {
  const system = createSystem();
  const choice = new HostSelector(system);
  const hosts = createHosts('a', 'b').map(host => ({...host, distance: 2}));
  const answerMs = 15;
  const deadlineMs = 200;
  const sent = {a: 0, b: 0, silent: 0};
  const send = (present: readonly ServingHost[]) => {
    const host = choice.choose(present) as keyof typeof sent;
    sent[host] += 1;
    const end = choice.startAttempt(host);
    if (host === 'silent')
      system.startTimer(deadlineMs, () => end('abandoned'));
    else system.startTimer(answerMs, () => end('answered'));
  };
  for (let atMs = 0; atMs < 6_000; atMs += 10)
    system.startTimer(atMs, () =>
      send(atMs < 1_000 ? hosts : [...hosts, ...createHosts('silent')]),
    );
  system.runUntil(7_000);
  const all = sent.a + sent.b + sent.silent;
  t.true(sent.silent < all / 20, JSON.stringify(sent));
});
