/**
 * Tests of the advice that a daemon gives to those that offer it requests.
 */
import test from 'ava';

import type {AttemptResult, Exchange} from '../src/exchange.js';
import {createFailedResult, createNotRunFailure} from '../src/failures.js';
import {OFFER_SHARE_HEADER} from '../src/headers.js';
import {OfferAdvisor} from '../src/offer_advisor.js';
import {ManualSystem, RecordingSink} from './fakes.js';

const FULL_MEMORY_MS = 1_000;

function createOffer(offeredRequests?: number) {
  const answer = new RecordingSink();
  const exchange = {kind: {name: 'check'}, answer, offeredRequests};
  return {exchange: exchange as unknown as Exchange, answer};
}

function refuse(): Promise<AttemptResult> {
  return Promise.resolve(createFailedResult(createNotRunFailure('DD3011', 10)));
}

function answer({answer: sink}: Exchange): Promise<AttemptResult> {
  sink.startAnswer(200, {seal: 'a'});
  sink.endAnswer({});
  return Promise.resolve({kind: 'answered', status: 200, isTruncated: false});
}

async function refuseOffers(advisor: OfferAdvisor, count: number) {
  let share: number | undefined;
  for (let offer = 0; offer < count; offer++) {
    const result = await advisor.handle(createOffer(2).exchange, refuse);
    if (result.kind === 'failed') share = result.failure.offerShare;
  }
  return share ?? 1;
}

test('a host that refuses offers advises to offer a smaller share', async t => {
  const advisor = new OfferAdvisor(new ManualSystem());
  const share = await refuseOffers(advisor, 10);
  t.true(share < 0.2, `${share}`);
  const {exchange, answer: sink} = createOffer(1);
  await advisor.handle(exchange, answer);
  t.true(Number(sink.headers[OFFER_SHARE_HEADER]) < 1);
  t.is(sink.headers['seal'], 'a');
});

test('a host that refuses nothing gives no advice', async t => {
  const advisor = new OfferAdvisor(new ManualSystem());
  const {exchange, answer: sink} = createOffer(1);
  await advisor.handle(exchange, answer);
  t.deepEqual(sink.headers, {seal: 'a'});
});

test('the advice ends soon after the last refusal', async t => {
  const system = new ManualSystem();
  const advisor = new OfferAdvisor(system);
  await refuseOffers(advisor, 10);
  system.shift(FULL_MEMORY_MS);
  const {exchange, answer: sink} = createOffer(9);
  await advisor.handle(exchange, answer);
  t.deepEqual(sink.headers, {seal: 'a'});
});

test('requests of own callers are no offers', async t => {
  const advisor = new OfferAdvisor(new ManualSystem());
  await refuseOffers(advisor, 10);
  const {exchange, answer: sink} = createOffer();
  await advisor.handle(exchange, answer);
  t.deepEqual(sink.headers, {seal: 'a'});
});

test('offers that are refused unread count', t => {
  const advisor = new OfferAdvisor(new ManualSystem());
  t.true(advisor.refuseUnread('check', 8) < 0.2);
  t.is(new OfferAdvisor(new ManualSystem()).refuseUnread('check', 1), 1);
});
