/**
 * Tests the selection of routes and of their weighted parts.
 */
import test from 'ava';
import * as O from 'fp-ts/lib/Option.js';

import type {Route, RoutePart} from '@dottereldrift/manifest/types.js';

import {chooseService, RouteSelector} from '../src/route_selection.js';

const DRAWS = 1_000;

function createRoute(
  name: string,
  pathPrefix: string,
  parts: readonly RoutePart[] = [{service: name, weight: 1}],
): Route {
  return {
    name,
    host: 'shop.example',
    pathPrefix,
    goalMs: 100,
    parts,
    kind: {
      name,
      match: {},
      idempotent: true,
      deadlineMs: 1_000,
      maxAttempts: 2,
      priority: 5,
      expectedServiceMs: 10,
      objective: 0.99,
    },
  };
}

const selector = new RouteSelector({
  services: {},
  routes: [
    createRoute('all', '/'),
    createRoute('menu', '/menu/'),
    createRoute('today', '/menu/today/'),
  ],
});

function findName(authority: string, path: string): string | undefined {
  return O.toUndefined(selector.findRoute(authority, path))?.name;
}

test('the route with the longest matching prefix is selected', t => {
  t.is(findName('shop.example', '/menu/today/5'), 'today');
  t.is(findName('shop.example', '/menu/today/'), 'today');
  t.is(findName('shop.example', '/menu/today'), 'menu');
  t.is(findName('shop.example', '/menus/1'), 'all');
  t.is(findName('shop.example', '/menu/?from=/menu/today/'), 'menu');
});

test('the host is compared without regard to case and port', t => {
  t.is(findName('SHOP.example:8080', '/menu/1'), 'menu');
  t.is(findName('other.example', '/menu/1'), undefined);
  t.is(findName('', '/menu/1'), undefined);
});

test('parts are chosen in proportion to their weights', t => {
  const route = createRoute('split', '/', [
    {service: 'a', weight: 90},
    {service: 'b', weight: 10},
    {service: 'none', weight: 0},
  ]);
  const counts = new Map<string, number>();
  for (let draw = 0; draw < DRAWS; draw++) {
    const service = chooseService(route, draw / DRAWS);
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  t.deepEqual(
    [...counts],
    [
      ['a', 900],
      ['b', 100],
    ],
  );
});
