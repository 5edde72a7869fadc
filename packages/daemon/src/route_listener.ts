/**
 * The routes of a service for embedded clients, on the callers' listener: which daemon owns which
 * slice, and where callers reach it.
 */
import type {FastifyInstance} from 'fastify';

import {createMessage} from '@dottereldrift/core/messages.js';
import {formatAddress, isSameMember} from '@dottereldrift/core/member.js';
import type {Member} from '@dottereldrift/core/types.js';
import type {Session} from '@dottereldrift/membership/types.js';

import type {StoreView} from './store_view.js';

/** What the routes are answered from. */
export type RouteSource = Pick<
  StoreView,
  'getManifest' | 'getAssignment' | 'getLiveSessions'
>;

/** The routes of one service. */
export interface RouteAnswer {
  readonly service: string;
  readonly division: string;
  /** Generation of the assignment. */
  readonly generation: number;
  /** Addresses of the daemons for callers, as `ip:port`. */
  readonly daemons: readonly string[];
  /** Start of each slice, and the index of its owner among the daemons; -1 when it has none. */
  readonly slices: ReadonlyArray<readonly [number, number]>;
}

interface RouteRequest {
  readonly Params: {readonly service: string};
  readonly Querystring: {readonly after?: string};
}

/** Adds the route of routes to a listener; 204 answers that no later generation is known. */
export function addRouteRoutes(
  app: FastifyInstance,
  source: RouteSource,
): void {
  app.get<RouteRequest>('/routes/:service', (request, reply) => {
    const {service} = request.params;
    const answer = createRouteAnswer(source, service);
    if (answer === undefined)
      return reply.code(404).send(createMessage('DD3001', {service}));
    const after = Number(request.query.after ?? -1);
    if (answer.generation <= after) return reply.code(204).send();
    return reply.send(answer);
  });
}

function createRouteAnswer(
  source: RouteSource,
  service: string,
): RouteAnswer | undefined {
  const services = source.getManifest()?.manifest.services ?? {};
  const rules = Object.hasOwn(services, service)
    ? services[service]
    : undefined;
  const assignment = source.getAssignment(service)?.assignment;
  if (rules === undefined) return undefined;
  const sessions = source
    .getLiveSessions()
    .filter(session => isServing(session, service));
  return {
    service,
    division: rules.division,
    generation: assignment?.generation ?? 0,
    daemons: sessions.map(({peerAddress, callerPort}) =>
      formatAddress({ip: peerAddress.ip, port: callerPort}),
    ),
    slices: (assignment?.slices ?? []).map(({start, owner}) => [
      start,
      findOwnerIndex(sessions, owner),
    ]),
  };
}

function isServing(session: Session, service: string): boolean {
  return session.servers.some(server => server.service === service);
}

function findOwnerIndex(
  sessions: readonly Session[],
  owner: Member | undefined,
): number {
  if (owner === undefined) return -1;
  return sessions.findIndex(session => isSameMember(session.member, owner));
}
