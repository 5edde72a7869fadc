/**
 * Selects the route of a request by host and path, and a service among the weighted parts of the route.
 */
import * as O from 'fp-ts/lib/Option.js';

import type {Manifest, Route} from '@dottereldrift/manifest/types.js';

/** Index of the routes of one manifest by host and path prefix. */
export class RouteSelector {
  private readonly routesByHost = new Map<string, Map<string, Route>>();

  constructor({routes = []}: Manifest) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const present = this.routesByHost.get(host) ?? new Map<string, Route>();
      this.routesByHost.set(host, present.set(route.pathPrefix, route));
    }
  }

  /** Returns the route with the longest matching path prefix. */
  findRoute(authority: string, path: string): O.Option<Route> {
    const host = authority.toLowerCase();
    const routes =
      this.routesByHost.get(host) ?? this.routesByHost.get(removePort(host));
    if (routes === undefined) return O.none;
    const pathname = removeQuery(path);
    // Every prefix ends with a slash, so it can only match up to a slash of the path.
    for (let end = pathname.length; end > 0;) {
      const slash = pathname.lastIndexOf('/', end - 1);
      if (slash < 0) break;
      const route = routes.get(pathname.slice(0, slash + 1));
      if (route !== undefined) return O.some(route);
      end = slash;
    }
    return O.none;
  }
}

/** Returns the service of a part chosen at random by weight. `random` is in [0, 1). */
export function chooseService({parts}: Route, random: number): string {
  const totalWeight = parts.reduce((sum, part) => sum + part.weight, 0);
  let remainingWeight = random * totalWeight;
  for (const part of parts) {
    remainingWeight -= part.weight;
    if (remainingWeight < 0) return part.service;
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
