/**
 * HTTP routes through which the backend servers on this host announce themselves, start to leave
 * and deregister.
 */
import type {FastifyInstance} from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import * as z from 'zod';

import {createMessage} from '@dottereldrift/core/messages.js';
import {checkValue} from '@dottereldrift/manifest/check.js';

import type {ServerRegistry} from './server_registry.js';

const MAX_PORT = 65_535;
const MAX_SLOTS = 100_000;

const announcementSchema = z.strictObject({
  port: z.number().int().min(1).max(MAX_PORT),
  slots: z.number().int().min(1).max(MAX_SLOTS),
  connections: z.number().int().min(1).max(MAX_SLOTS),
  leaving: z.boolean().default(false),
});

const serviceSchema = z
  .string()
  .regex(/^[a-z][a-z0-9-]{0,62}$/, 'allowed are a-z, 0-9 and -');

interface ServiceParams {
  readonly service: string;
}

/** Adds the routes of backend servers to a listener. */
export function addServerRoutes(
  app: FastifyInstance,
  hostIp: string,
  registry: ServerRegistry,
): void {
  app.addHook('onRequest', (request, reply, done) => {
    if (isOwnHost(request.socket.remoteAddress ?? '', hostIp)) {
      done();
      return;
    }
    void reply.code(403).send(createMessage('DD4003'));
  });
  app.put<{Params: ServiceParams}>('/servers/:service', (request, reply) => {
    const checked = checkValue(announcementSchema, request.body);
    const service = checkValue(serviceSchema, request.params.service);
    if (E.isLeft(checked) || E.isLeft(service)) {
      const faults = [
        ...(E.isLeft(checked) ? checked.left : []),
        ...(E.isLeft(service) ? service.left : []),
      ];
      return reply.code(400).send({...createMessage('DD4001'), faults});
    }
    const {port, slots, connections, leaving} = checked.right;
    registry.receiveAnnouncement({
      service: service.right,
      address: {ip: hostIp, port},
      slots,
      connections,
      isLeaving: leaving,
    });
    return reply.code(200).send({service: service.right});
  });
  app.post<{Params: ServiceParams}>(
    '/servers/:service/leave',
    (request, reply) => {
      const isKnown = registry.startLeaving(request.params.service);
      return reply.code(isKnown ? 200 : 404).send({isLeaving: isKnown});
    },
  );
  app.delete<{Params: ServiceParams}>('/servers/:service', (request, reply) => {
    registry.removeServer(request.params.service);
    return reply.code(204).send();
  });
}

const MAPPED_PREFIX = '::ffff:';

function isOwnHost(remote: string, hostIp: string): boolean {
  const plain = remote.startsWith(MAPPED_PREFIX)
    ? remote.slice(MAPPED_PREFIX.length)
    : remote;
  return plain === hostIp || plain === '127.0.0.1' || plain === '::1';
}
