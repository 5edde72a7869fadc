/**
 * Routes for operators: status, configurations in force, key lookups, the manifest, drains and fencing.
 */
import type {FastifyInstance, FastifyReply} from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import * as z from 'zod';

import {createMessage, type Message} from '@dottereldrift/core/messages.js';
import {hashKey} from '@dottereldrift/core/ring_hash.js';
import {checkManifest, checkValue} from '@dottereldrift/manifest/check.js';
import {findSlice} from '@dottereldrift/ownership/slices.js';
import type {ObjectStore, StoreFailure} from '@dottereldrift/store/types.js';

import {KeyVerifier} from './key_verifier.js';
import type {BurnReport} from './burn_report.js';
import type {ConfigurationSurvey} from './configuration_survey.js';
import type {StatusReader} from './status.js';
import {
  DRAIN_PREFIX,
  type StoreView,
  SUBMITTED_MANIFEST_KEY,
} from './store_view.js';
import type {Takeover} from './takeover.js';

/** Components that the operator routes use. */
export interface OperatorDependencies {
  readonly store: ObjectStore;
  readonly view: StoreView;
  readonly takeover: Takeover;
  readonly status: StatusReader;
  readonly report: BurnReport;
  readonly survey: ConfigurationSurvey;
}

const submissionSchema = z.strictObject({
  text: z.string(),
  ifVersion: z.number().int().min(0).optional(),
});

/** Adds the operator key check and the operator routes to a listener. */
export function addOperatorRoutes(
  app: FastifyInstance,
  operatorKey: string,
  parts: OperatorDependencies,
): void {
  const keyVerifier = new KeyVerifier(operatorKey);
  app.addHook('onRequest', (request, reply, done) => {
    if (keyVerifier.isAuthorized(request.headers.authorization)) {
      done();
      return;
    }
    void reply.code(401).send({...createMessage('DD4010')});
  });
  addReadRoutes(app, parts);
  addManifestRoutes(app, parts);
  addHostRoutes(app, parts);
}

function addReadRoutes(
  app: FastifyInstance,
  parts: OperatorDependencies,
): void {
  app.get('/status', () => parts.status.readStatus());
  app.get('/configurations', () => parts.survey.askFleet());
  app.get('/report', () => parts.report.readReport());
  app.get<{Params: {readonly service: string; readonly key: string}}>(
    '/explain/:service/:key',
    (request, reply) => {
      const {service, key} = request.params;
      const assignment = parts.view.getAssignment(service)?.assignment;
      if (assignment === undefined) {
        return reply.code(404).send(createMessage('DD3001', {service}));
      }
      const position = hashKey(key);
      const slice = findSlice(assignment.slices, position);
      const host = slice?.owner?.host;
      const session =
        host === undefined ? undefined : parts.view.getSession(host)?.session;
      return reply.send({
        service,
        key,
        position,
        generation: assignment.generation,
        slice,
        owner: session && {
          host: session.member.host,
          dataCentre: session.dataCentre,
          isEnded: session.isEnded,
          isLeaving: session.isLeaving,
        },
        isDraining: host !== undefined && parts.view.isDraining(host),
      });
    },
  );
}

function addManifestRoutes(
  app: FastifyInstance,
  parts: OperatorDependencies,
): void {
  app.get('/manifest', (_request, reply) => {
    const submitted = parts.view.getSubmitted();
    return reply.send({
      submittedVersion: submitted?.version ?? 0,
      status: parts.view.getStatus()?.value ?? null,
      accepted: parts.view.getManifest() ?? null,
    });
  });
  app.put('/manifest', async (request, reply) => {
    const submission = checkValue(submissionSchema, request.body);
    if (E.isLeft(submission)) {
      const message = createMessage('DD1011');
      return reply.code(400).send({...message, faults: submission.left});
    }
    const {text, ifVersion} = submission.right;
    const checked = checkManifest(text);
    if (E.isLeft(checked)) {
      const message = createMessage('DD5002', {count: checked.left.length});
      return reply.code(422).send({...message, faults: checked.left});
    }
    const read = await parts.store.getObject(SUBMITTED_MANIFEST_KEY)();
    if (E.isLeft(read)) return sendStoreFailure(reply, read.left);
    const found = read.right?.version ?? 0;
    if (ifVersion !== undefined && ifVersion !== found) {
      return reply.code(409).send({
        ...createMessage('DD5003', {expected: ifVersion, found}),
        version: found,
      });
    }
    const value = Buffer.from(text);
    const written = await parts.store.updateObject(
      SUBMITTED_MANIFEST_KEY,
      found,
      value,
    )();
    if (E.isLeft(written)) return sendStoreFailure(reply, written.left);
    parts.view.applyObject({
      key: SUBMITTED_MANIFEST_KEY,
      version: written.right,
      value,
    });
    return reply.send({version: written.right});
  });
}

function addHostRoutes(
  app: FastifyInstance,
  parts: OperatorDependencies,
): void {
  app.post<{Params: {readonly host: string}}>(
    '/drain/:host',
    async (request, reply) => {
      const {host} = request.params;
      if (parts.view.getSession(host) === undefined) {
        return reply.code(404).send(createMessage('DD5004', {host}));
      }
      if (parts.view.isDraining(host))
        return reply.send(createMessage('DD5005', {host}));
      const key = `${DRAIN_PREFIX}${host}`;
      const value = Buffer.from(JSON.stringify({host}));
      const written = await parts.store.updateObject(key, 0, value)();
      if (E.isLeft(written) && written.left.kind !== 'conflict') {
        return sendStoreFailure(reply, written.left);
      }
      return reply.send(createMessage('DD5005', {host}));
    },
  );
  app.delete<{Params: {readonly host: string}}>(
    '/drain/:host',
    async (request, reply) => {
      const {host} = request.params;
      const version = parts.view.getDrainVersion(host);
      if (version === 0)
        return reply.code(404).send(createMessage('DD5004', {host}));
      const deleted = await parts.store.deleteObject(
        `${DRAIN_PREFIX}${host}`,
        version,
      )();
      if (E.isLeft(deleted)) return sendStoreFailure(reply, deleted.left);
      return reply.code(204).send();
    },
  );
  app.post<{Params: {readonly host: string}}>(
    '/fence/:host',
    async (request, reply) => {
      const {host} = request.params;
      const member = await parts.takeover.forceEnd(host);
      if (member === undefined)
        return reply.code(404).send(createMessage('DD5004', {host}));
      return reply.send(createMessage('DD5006', {...member}));
    },
  );
}

const STORE_FAILURE_STATUS: Readonly<Record<StoreFailure['kind'], number>> = {
  unavailable: 503,
  budget: 503,
  unknown: 502,
  conflict: 409,
  refused: 422,
};

function sendStoreFailure(
  reply: FastifyReply,
  failure: StoreFailure,
): FastifyReply {
  const status = STORE_FAILURE_STATUS[failure.kind];
  return reply.code(status).send(createStoreFailureMessage(failure));
}

function createStoreFailureMessage(
  failure: StoreFailure,
): Message & {readonly version?: number} {
  if (failure.kind === 'unknown') return createMessage('DD5007');
  const code = failure.kind === 'conflict' ? 'DD2003' : 'DD2001';
  const version = failure.foundVersion;
  return {
    code,
    text: failure.text,
    ...(version === undefined ? {} : {version}),
  };
}
