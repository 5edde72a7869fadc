/**
 * Serves the heartbeats of the backend server on this host and returns grants in the responses.
 */
import type {FastifyInstance} from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import type * as z from 'zod';

import type {Log} from '@dottereldrift/core/log.js';
import type {Address, ServiceName} from '@dottereldrift/core/types.js';
import type {
  KeyGrant,
  KeyReport,
} from '@dottereldrift/daemon/heartbeat_grants.js';
import type {ServerRegistry} from '@dottereldrift/daemon/server_registry.js';
import type {ServerHeartbeat} from '@dottereldrift/daemon/server_types.js';
import {checkValue} from '@dottereldrift/manifest/check.js';

import {heartbeatSchema} from './wire.js';

const OK = 200;
const BAD_REQUEST = 400;
const CONFLICT = 409;
/** Maximum connections to a server if the configuration sets no limit. */
const DEFAULT_CONNECTIONS = 32;

/** The backend server that is configured for this host. */
export interface ExpectedServer {
  readonly service: ServiceName;
  readonly address: Address;
}

interface InstanceParams {
  readonly id: string;
}

/** Registers the heartbeat routes on a listener. */
export function addHeartbeatRoutes(
  app: FastifyInstance,
  getExpected: () => ExpectedServer,
  registry: ServerRegistry,
  log: Log,
): void {
  app.put<{Params: InstanceParams}>(
    '/instances/:id',
    async (request, reply) => {
      const parsed = parseHeartbeat(request.body, request.params.id);
      if (E.isLeft(parsed) || !isExpectedServer(parsed.right, getExpected())) {
        const reason = E.isLeft(parsed)
          ? parsed.left
          : 'it names another server';
        log.writeWarning('A heartbeat was rejected.', {
          instance: request.params.id,
          reason,
        });
        return reply.code(BAD_REQUEST).send({reason});
      }
      const waitedMs = await registry.waitForChanges(parsed.right);
      const result = registry.receiveHeartbeat(parsed.right, waitedMs);
      if (result === 'stale') return reply.code(CONFLICT).send({});
      return reply
        .code(OK)
        .send(result === undefined ? {} : formatGrant(result));
    },
  );
  app.delete<{Params: InstanceParams}>('/instances/:id', (request, reply) => {
    registry.receiveDeparture(request.params.id);
    return reply.code(OK).send({});
  });
}

/** Parses and translates a heartbeat, or returns why it is not valid. */
export function parseHeartbeat(
  body: unknown,
  instanceId: string,
): E.Either<string, ServerHeartbeat> {
  const checked = checkValue(heartbeatSchema, body);
  if (E.isLeft(checked)) {
    const [fault] = checked.left;
    return E.left(`${fault?.path ?? '$'}: ${fault?.reason ?? 'not valid'}`);
  }
  return E.right(translateHeartbeat(checked.right, instanceId));
}

type WireHeartbeat = z.infer<typeof heartbeatSchema>;

function translateHeartbeat(
  wire: WireHeartbeat,
  instanceId: string,
): ServerHeartbeat {
  const startedAtMs = wire.born ?? 0;
  return {
    info: {
      service: wire.service,
      address: wire.address,
      slots: wire.slots,
      connections: DEFAULT_CONNECTIONS,
      isLeaving: wire.state === 'draining',
      life: `${instanceId}/${startedAtMs}`,
    },
    instanceId,
    startedAtMs,
    sequence: wire.seq,
    report: translateReport(wire.holds, wire.freed),
  };
}

function translateReport(
  holds: WireHeartbeat['holds'],
  freed: WireHeartbeat['freed'],
): KeyReport | undefined {
  return (
    holds && {
      held: holds.map(([first, last, token]) => ({first, last, token})),
      freed: (freed ?? []).map(([first, last, handover]) => ({
        first,
        last,
        handover,
      })),
    }
  );
}

function isExpectedServer(
  {info}: ServerHeartbeat,
  {service, address}: ExpectedServer,
): boolean {
  return (
    info.service === service &&
    info.address.ip === address.ip &&
    info.address.port === address.port
  );
}

function formatGrant({keys, holdMs}: KeyGrant): object {
  return {
    holds: keys.map(({first, last, token, handover}) => [
      first,
      last,
      token,
      handover,
    ]),
    hold_ms: holdMs,
  };
}
