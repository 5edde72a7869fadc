/**
 * Tests that only requests which the framework would hand on as they are pass by it.
 */
import type {AddressInfo} from 'node:net';

import test from 'ava';

import {isPlainRequest, servePlainRequests} from '../src/plain_requests.js';
import {createListener} from '../src/request_listener.js';

import {createLimits} from './fakes.js';

const LONG_TARGET = `/${'a'.repeat(2_000)}`;

for (const [name, isPlain, method, url, mediaType] of [
  ['a read', true, 'GET', '/menu/1?floor=a-b_c.d~', undefined],
  ['a write', true, 'POST', '/menu/', 'application/json'],
  ['a rare method', false, 'TRACE', '/menu/', undefined],
  ['an escape', false, 'GET', '/menu/%', undefined],
  ['a fragment', false, 'GET', '/menu/#a', undefined],
  ['a parameter of a segment', false, 'GET', '/menu/;a=1', undefined],
  ['a byte outside ASCII', false, 'GET', '/menu/\u00e9', undefined],
  ['a space', false, 'GET', '/menu/ a', undefined],
  ['a whole URL', false, 'GET', 'http://shop.example/menu/', undefined],
  ['every resource', false, 'OPTIONS', '*', undefined],
  ['a long target', false, 'GET', LONG_TARGET, undefined],
  ['parameters of a type', false, 'POST', '/', 'text/plain; charset=utf-8'],
  ['a media type that is none', false, 'POST', '/', 'text'],
  ['an empty media type', false, 'POST', '/', ''],
] as const) {
  test(`${name} is ${isPlain ? '' : 'not '}plain`, t => {
    const headers = mediaType === undefined ? {} : {'content-type': mediaType};
    t.is(isPlainRequest({method, url, headers}), isPlain);
  });
}

test('hooks of the listener see what is not plain, refused by the check or outside the prefix', async t => {
  const app = createListener(createLimits());
  const hooked: string[] = [];
  const served: string[] = [];
  app.addHook('onRequest', (request, _reply, done) => {
    hooked.push(request.url);
    done();
  });
  app.all('/*', (_request, reply) => reply.send(''));
  servePlainRequests(
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
