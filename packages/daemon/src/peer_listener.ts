/**
 * Routes for other daemons: authenticates every request with the peer key and serves the peer service.
 */
import type {ConnectRouter} from '@connectrpc/connect';
import {fastifyConnectPlugin} from '@connectrpc/connect-fastify';
import type {FastifyInstance} from 'fastify';

import {createMessage} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';
import type {Member} from '@dottereldrift/core/types.js';
import {parseMember} from '@dottereldrift/membership/session_record.js';
import {PeerService} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';

import {
  type AssignmentRecovery,
  encodeDescription,
} from './assignment_recovery.js';
import type {ConfigurationSurvey} from './configuration_survey.js';
import {KeyVerifier} from './key_verifier.js';
import {parseIdempotencyEntry} from './idempotency_entry_codec.js';
import type {LoadTracker} from './load_tracker.js';
import {parseReport} from './load_codec.js';
import {CODE_HEADER, OUTCOME_HEADER} from './headers.js';
import type {SliceReleaser} from './slice_releaser.js';
import type {Owner} from './owner.js';
import {encodeUpdateResult, type PeerBackedStore} from './peer_backed_store.js';
import type {RelayServer} from './relay_server.js';
import type {WitnessService} from './witness_service.js';

/** Components that the peer service uses. */
export interface PeerServiceDependencies {
  readonly witnessService: WitnessService;
  readonly owner: Owner;
  readonly sliceReleaser: SliceReleaser;
  readonly loadTracker: LoadTracker;
  readonly relay: RelayServer;
  readonly recovery: Pick<AssignmentRecovery, 'readOwnAssignment'>;
  readonly survey: Pick<ConfigurationSurvey, 'readOwnState'>;
  readonly store: Pick<PeerBackedStore, 'updateDirectly'>;
  readonly system: System;
  readonly getSelf: () => Member;
}

/** Adds the peer key check and the peer service to a listener. */
export async function addPeerRoutes(
  app: FastifyInstance,
  peerKey: string,
  parts: PeerServiceDependencies,
): Promise<void> {
  const keyVerifier = new KeyVerifier(peerKey);
  app.addHook('onRequest', (request, reply, done) => {
    if (keyVerifier.isAuthorized(request.headers.authorization)) {
      done();
      return;
    }
    void reply
      .code(401)
      .header(OUTCOME_HEADER, 'not-run')
      .header(CODE_HEADER, 'DD4010')
      .send({...createMessage('DD4010')});
  });
  await app.register(fastifyConnectPlugin, {
    routes: router => {
      addPeerService(router, parts);
    },
  });
}

/** Adds the peer service to a router. */
export function addPeerService(
  router: ConnectRouter,
  parts: PeerServiceDependencies,
): void {
  router.service(PeerService, {
    fence: request => {
      const target = parseMember(request.target);
      const witness = parseMember(request.witness);
      const sessionOrigin = Number(request.sessionOrigin);
      const {witnessService} = parts;
      return {
        granted: witnessService.voteOnFence(target, witness, sessionOrigin),
      };
    },
    releaseSlices: async request => {
      const refs = request.slices.map(ref => ({
        start: ref.start,
        token: Number(ref.token),
        ...(ref.end === 0n ? {} : {end: Number(ref.end)}),
      }));
      const owner = parseMember(request.owner);
      const nextOwner = parseMember(request.nextOwner);
      const released = await parts.sliceReleaser.release(
        request.service,
        owner,
        nextOwner,
        refs,
      );
      return {
        released: released.map(ref => ({
          start: ref.start,
          token: BigInt(ref.token),
          handover: ref.handover ?? '',
        })),
      };
    },
    reportLoad: request => {
      parts.loadTracker.receiveReport(parseReport(request));
      return {};
    },
    describeAssignment: ({service}) =>
      encodeDescription(service, parts.recovery.readOwnAssignment(service)),
    describeConfiguration: () => {
      const {generation, ...times} = parts.survey.readOwnState();
      return {generation: BigInt(generation), ...times};
    },
    updateObject: async ({key, expectedVersion, value}) =>
      encodeUpdateResult(
        await parts.store.updateDirectly(key, Number(expectedVersion), value),
      ),
    followObjects: (request, context) =>
      parts.relay.serveFollower(Number(request.revision), context.signal),
    handOverEntries: request => {
      const nextOwner = parseMember(request.nextOwner);
      if (nextOwner.incarnation !== parts.getSelf().incarnation)
        return {accepted: false};
      const nowMs = parts.system.getNow().monotonicMs;
      const entries = request.entries.map(entry =>
        parseIdempotencyEntry(entry, nowMs),
      );
      return {
        accepted: parts.owner.tryAbsorbIdempotencyEntries(
          request.service,
          entries,
        ),
      };
    },
  });
}
