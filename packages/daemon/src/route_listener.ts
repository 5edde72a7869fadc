/**
 * Serves the routing table of a service to embedded clients on the callers' listener: which daemon owns
 * each slice, and the address at which callers reach it.
 */
import type {FastifyInstance} from 'fastify';

import {createMessage} from '@dottereldrift/core/messages.js';
import {formatAddress, isSameMember} from '@dottereldrift/core/member.js';
import type {Member} from '@dottereldrift/core/types.js';
import type {Session} from '@dottereldrift/membership/types.js';

import type {StoreView} from './store_view.js';

/** State that a routing table is built from. */
export type RoutingTableSource = Pick<
  StoreView,
  'getManifest' | 'getAssignment' | 'getLiveSessions'
>;

/** Routing table of one service. */
export interface RoutingTable {
  readonly service: string;
  readonly division: string;
  /** Generation of the assignment. */
  readonly generation: number;
  /** Addresses at which the daemons serve callers, as `ip:port`. */
  readonly daemons: readonly string[];
  /** Start of each slice, and the index of its owner in `daemons`; -1 when it has none. */
  readonly slices: ReadonlyArray<readonly [number, number]>;
}

interface RouteRequest {
  readonly Params: {readonly service: string};
  readonly Querystring: {readonly after?: string};
}

/** Adds the route that returns a routing table; 204 means that no later generation is known. */
export function addRoutingTableRoute(
  app: FastifyInstance,
  source: RoutingTableSource,
): void {
  app.get<RouteRequest>('/routes/:service', (request, reply) => {
    const {service} = request.params;
    const answer = createRoutingTable(source, service);
    if (answer === undefined)
      return reply.code(404).send(createMessage('DD3001', {service}));
    const after = Number(request.query.after ?? -1);
    if (answer.generation <= after) return reply.code(204).send();
    return reply.send(answer);
  });
}

function createRoutingTable(
  source: RoutingTableSource,
  service: string,
): RoutingTable | undefined {
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
