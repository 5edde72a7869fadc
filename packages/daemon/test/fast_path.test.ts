/**
 * Tests that the fast path serves only requests that Fastify would pass to their route unchanged.
 */
import type {AddressInfo} from 'node:net';

import test from 'ava';

import {addFastPath, isFastPathRequest} from '../src/fast_path.js';
import {createListener} from '../src/request_listener.js';

import {createLimits} from './fakes.js';

const OVERLONG_TARGET = `/${'a'.repeat(2_000)}`;

for (const [name, isEligible, method, url, mediaType] of [
  ['a read', true, 'GET', '/menu/1?floor=a-b_c.d~', undefined],
  ['a write', true, 'POST', '/menu/', 'application/json'],
  ['a rare method', false, 'TRACE', '/menu/', undefined],
  ['an escape', false, 'GET', '/menu/%', undefined],
  ['a fragment', false, 'GET', '/menu/#a', undefined],
  ['a path parameter', false, 'GET', '/menu/;a=1', undefined],
  ['a byte outside ASCII', false, 'GET', '/menu/\u00e9', undefined],
  ['a space', false, 'GET', '/menu/ a', undefined],
  ['an absolute URL', false, 'GET', 'http://shop.example/menu/', undefined],
  ['an asterisk target', false, 'OPTIONS', '*', undefined],
  ['a long target', false, 'GET', OVERLONG_TARGET, undefined],
  [
    'a media type with parameters',
    false,
    'POST',
    '/',
    'text/plain; charset=utf-8',
  ],
  ['an invalid media type', false, 'POST', '/', 'text'],
  ['an empty media type', false, 'POST', '/', ''],
] as const) {
  test(`${name} is ${isEligible ? '' : 'not '}eligible for the fast path`, t => {
    const headers = mediaType === undefined ? {} : {'content-type': mediaType};
    t.is(isFastPathRequest({method, url, headers}), isEligible);
  });
}

test('requests that are not eligible, rejected by the check or outside the prefix go through the hooks', async t => {
  const app = createListener(createLimits());
  const hooked: string[] = [];
  const served: string[] = [];
  app.addHook('onRequest', (request, _reply, done) => {
    hooked.push(request.url);
    done();
  });
  app.all('/*', (_request, reply) => reply.send(''));
  addFastPath(
    app,
    '/routed/',
    (request, response) => {
      served.push(request.url ?? '');
      response.end();
    },
    ({headers}) => headers.authorization === 'Bearer a',
  );
  await app.listen({host: '127.0.0.1', port: 0});
  const {port} = app.server.address() as AddressInfo;
  const send = (path: string, authorization: string) =>
    fetch(`http://127.0.0.1:${port}${path}`, {headers: {authorization}});
  await send('/routed/a', 'Bearer a');
  await send('/routed/b', 'Bearer b');
  await send('/routed/%63', 'Bearer a');
  await send('/other', 'Bearer a');
  t.deepEqual(served, ['/routed/a']);
  t.deepEqual(hooked, ['/routed/b', '/routed/%63', '/other']);
  await app.close();
});
