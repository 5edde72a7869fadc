/**
 * Selects the route of a request by its host and path, and the service that one of the route's parts
 * sends the request to.
 */
import * as O from 'fp-ts/lib/Option.js';

import type {Manifest, Route} from '@dottereldrift/manifest/types.js';

/** The routes of one manifest, by host and prefix. */
export class RouteSelector {
  private readonly byHost = new Map<string, Map<string, Route>>();

  constructor({routes = []}: Manifest) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const present = this.byHost.get(host) ?? new Map<string, Route>();
      this.byHost.set(host, present.set(route.pathPrefix, route));
    }
  }

  /** Returns the route with the longest prefix that the path begins with. */
  findRoute(authority: string, path: string): O.Option<Route> {
    const host = authority.toLowerCase();
    const routes = this.byHost.get(host) ?? this.byHost.get(removePort(host));
    if (routes === undefined) return O.none;
    const plain = removeQuery(path);
    // Every prefix ends with a slash, so only those that end at a slash of the path can fit.
    for (let end = plain.length; end > 0;) {
      const slash = plain.lastIndexOf('/', end - 1);
      if (slash < 0) break;
      const route = routes.get(plain.slice(0, slash + 1));
      if (route !== undefined) return O.some(route);
      end = slash;
    }
    return O.none;
  }
}

/** Returns the service of a part, drawn by the weights. `random` is from 0 up to, not including, 1. */
export function chooseService({parts}: Route, random: number): string {
  const total = parts.reduce((sum, part) => sum + part.weight, 0);
  let draw = random * total;
  for (const part of parts) {
    draw -= part.weight;
    if (draw < 0) return part.service;
  }
  return parts[parts.length - 1]?.service ?? '';
}

function removePort(host: string): string {
  return host.replace(/:\d+$/, '');
}

function removeQuery(path: string): string {
  const end = path.indexOf('?');
  return end < 0 ? path : path.slice(0, end);
}
