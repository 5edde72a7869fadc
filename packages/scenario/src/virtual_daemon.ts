/**
 * A daemon in virtual time: the real daemon components, connected to a simulated network.
 */
import {
  type CallOptions,
  createClient,
  createRouterTransport,
} from '@connectrpc/connect';
import {create} from '@bufbuild/protobuf';

import type {Log} from '@dottereldrift/core/log.js';
import {formatMessage, type MessageCode} from '@dottereldrift/core/messages.js';
import {waitFor} from '@dottereldrift/core/system.js';
import type {Address, Member, Outcome} from '@dottereldrift/core/types.js';
import {DaemonComponents} from '@dottereldrift/daemon/daemon.js';
import type {
  DatagramChannel,
  DatagramHandler,
  OutgoingAnswer,
  OutgoingHeartbeat,
} from '@dottereldrift/daemon/datagram_channel.js';
import type {ExternalAdapters} from '@dottereldrift/daemon/external_adapters.js';
import type {
  AnswerSink,
  AttemptResult,
  Exchange,
} from '@dottereldrift/daemon/exchange.js';
import type {Forwarder} from '@dottereldrift/daemon/forwarder.js';
import {
  PEER_CALL_TIMEOUT_MS,
  type PeerClient,
  type PeerClients,
} from '@dottereldrift/daemon/peer_client.js';
import {addPeerService} from '@dottereldrift/daemon/peer_listener.js';
import type {KeyGrant} from '@dottereldrift/daemon/heartbeat_grants.js';
import type {ServerHeartbeat} from '@dottereldrift/daemon/server_types.js';
import type {Settings} from '@dottereldrift/daemon/settings.js';
import type {StoreView} from '@dottereldrift/daemon/store_view.js';
import type {ServerInfo} from '@dottereldrift/membership/types.js';
import type {ObjectStore} from '@dottereldrift/store/types.js';
import type {Candidate} from '@dottereldrift/routing/types.js';
import {
  type Datagram,
  DatagramSchema,
  HeartbeatAnswerSchema,
  HeartbeatSchema,
  StopNoticeSchema,
} from '@dottereldrift/rpc/gen/dottereldrift/v1/datagram_pb.js';
import {
  type FollowObjectsRequest,
  type FollowObjectsResponse,
  PeerService,
} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';

import type {VirtualProcess} from './virtual_clock.js';
import {
  CallError,
  type Endpoint,
  type VirtualNetwork,
} from './virtual_network.js';
import {receiveStream} from './virtual_stream.js';

/** Extra time after the deadline in which the owner may still report the outcome itself. */
const OWNER_ANSWER_GRACE_MS = 30;
const POLL_INTERVAL_MS = 5;

/** Finds the daemon that listens at an address. */
export type PeerFinder = (address: Address) => VirtualDaemon | undefined;

/** An answer as the caller receives it. */
export interface CallerAnswer {
  readonly outcome: Outcome;
  readonly code: string;
  readonly status: number;
  readonly body: string;
}

/** The real daemon with entry points for callers, peers and the local server. */
export class VirtualDaemon extends DaemonComponents {
  /** In-process client of this daemon's peer service. */
  readonly peerService: PeerClient;
  receive: DatagramHandler = () => {};
  private isClosed = false;
  private requestsInProgress = 0;

  constructor(
    readonly endpoint: Endpoint,
    settings: Settings,
    process: VirtualProcess,
    edges: ExternalAdapters,
    log: Log,
  ) {
    super(settings, process, edges, log);
    const transport = createRouterTransport(router => {
      addPeerService(router, this.getPeerServiceDependencies());
    });
    this.peerService = createClient(PeerService, transport);
  }

  /** Returns the daemon's view of the store. */
  getView(): StoreView {
    return this.view;
  }

  /** Returns the store client of this daemon. */
  getStore(): ObjectStore {
    return this.store;
  }

  /** Returns the components that tests may modify to disable a rule. */
  getParts() {
    const {
      sessionManager,
      witnessService,
      registry,
      owner,
      entry,
      view,
      takeover,
    } = this;
    return {
      sessionManager,
      witnessService,
      registry,
      owner,
      entry,
      view,
      takeover,
    };
  }

  getAddress(): Address {
    return this.settings.peerAddress;
  }

  /** Receives an announcement of the server on this host; undefined means that the server has left. */
  receiveServerAnnouncement(
    service: string,
    info: ServerInfo | undefined,
  ): void {
    if (info === undefined) this.registry.removeServer(service);
    else this.registry.receiveAnnouncement(info);
  }

  /** Answers a heartbeat of the server on this host with its grant. */
  async answerHeartbeat(
    heartbeat: ServerHeartbeat,
  ): Promise<KeyGrant | 'stale' | undefined> {
    const waitedMs = await this.registry.waitForChanges(heartbeat);
    return this.registry.receiveHeartbeat(heartbeat, waitedMs);
  }

  /** Receives the message of the server on this host that it is shutting down. */
  receiveLeave(instanceId: string): void {
    this.registry.receiveDeparture(instanceId);
  }

  /** Serves a request from a caller. */
  serveCaller(
    createExchange: (answer: AnswerSink) => Exchange,
  ): Promise<CallerAnswer> {
    return this.serve(async () => {
      const answer = new BufferedAnswer();
      const result = await this.entry.handle(createExchange(answer));
      return createCallerAnswer(result, answer);
    }, createRefusal('connection'));
  }

  /** Serves a request forwarded by another daemon. */
  servePeer(exchange: Exchange): Promise<AttemptResult> {
    const refusal = createFailedResult('not-run', 'DD3008');
    return this.serve(() => this.owner.handle(exchange), refusal);
  }

  protected override openListeners(): Promise<void> {
    this.listeners.push({close: () => this.closeListeners()});
    return Promise.resolve();
  }

  private async serve<T>(run: () => Promise<T>, refusal: T): Promise<T> {
    if (this.isClosed) return refusal;
    this.requestsInProgress += 1;
    try {
      return await run();
    } finally {
      this.requestsInProgress -= 1;
    }
  }

  private async closeListeners(): Promise<void> {
    this.isClosed = true;
    while (this.requestsInProgress > 0)
      await waitFor(this.system, POLL_INTERVAL_MS);
  }
}

/** Sends datagrams to other virtual daemons. */
export class VirtualChannel implements DatagramChannel {
  handler: DatagramHandler = () => {};

  constructor(
    private readonly local: Endpoint,
    private readonly address: Address,
    private readonly network: VirtualNetwork,
    private readonly findPeer: PeerFinder,
  ) {}

  open(handler: DatagramHandler): Promise<void> {
    this.handler = handler;
    return Promise.resolve();
  }

  sendHeartbeat(to: Address, heartbeat: OutgoingHeartbeat): void {
    const sequence = BigInt(heartbeat.sequence);
    const configuration = BigInt(heartbeat.configuration);
    const fields = {...heartbeat, sequence, configuration};
    const value = create(HeartbeatSchema, fields);
    const body = {case: 'heartbeat', value} as const;
    this.send(to, create(DatagramSchema, {body}));
  }

  sendAnswer(to: Address, answer: OutgoingAnswer): void {
    const sequence = BigInt(answer.sequence);
    const configuration = BigInt(answer.configuration);
    const fields = {...answer, sequence, configuration};
    const value = create(HeartbeatAnswerSchema, fields);
    const body = {case: 'heartbeatAnswer', value} as const;
    this.send(to, create(DatagramSchema, {body}));
  }

  sendStopNotice(to: Address, {host, incarnation}: Member): void {
    const value = create(StopNoticeSchema, {host, incarnation});
    const body = {case: 'stopNotice', value} as const;
    this.send(to, create(DatagramSchema, {body}));
  }

  close(): void {
    this.handler = () => {};
  }

  private send(to: Address, datagram: Datagram): void {
    const peer = this.findPeer(to);
    if (peer === undefined) return;
    this.network.send(this.local.name, peer.endpoint, () => {
      peer.receive(datagram, this.address);
    });
  }
}

/** Peer service clients that call other virtual daemons over the simulated network. */
export class VirtualPeerClients implements PeerClients {
  constructor(
    private readonly local: Endpoint,
    private readonly network: VirtualNetwork,
    private readonly findPeer: PeerFinder,
  ) {}

  getClient(address: Address): PeerClient {
    const getMethod =
      (_target: object, name: string) =>
      (request: FollowObjectsRequest, options?: CallOptions) =>
        name === 'followObjects'
          ? this.watchObjects(address, request, options)
          : this.call(address, name, request);
    return new Proxy({}, {get: getMethod}) as PeerClient;
  }

  private watchObjects(
    address: Address,
    request: FollowObjectsRequest,
    options: CallOptions | undefined,
  ): AsyncIterable<FollowObjectsResponse> {
    const peer = this.findPeer(address);
    if (peer === undefined) throw new CallError('refused');
    return receiveStream(
      this.network,
      this.local,
      peer.endpoint,
      signal => peer.peerService.followObjects(request, {signal}),
      options?.signal ?? new AbortController().signal,
    );
  }

  private call(
    address: Address,
    name: string,
    request: object,
  ): Promise<unknown> {
    const peer = this.findPeer(address);
    if (peer === undefined) return Promise.reject(new CallError('refused'));
    const service = peer.peerService as unknown as Readonly<
      Record<string, (request: object) => Promise<unknown>>
    >;
    return this.network.call(
      this.local,
      peer.endpoint,
      PEER_CALL_TIMEOUT_MS,
      () => service[name]?.(request) ?? Promise.reject(new Error(name)),
    );
  }
}

/** Forwards requests to other virtual daemons. */
export class VirtualForwarder implements Forwarder {
  constructor(
    private readonly local: Endpoint,
    private readonly network: VirtualNetwork,
    private readonly findPeer: PeerFinder,
  ) {}

  async forward(
    candidate: Candidate,
    exchange: Exchange,
  ): Promise<AttemptResult> {
    const peer = this.findPeer(candidate.peerAddress);
    if (peer === undefined) return createFailedResult('not-run', 'DD3008');
    const nowMs = this.local.process.getNow().monotonicMs;
    const timeoutMs = exchange.deadlineAtMs + OWNER_ANSWER_GRACE_MS - nowMs;
    const answer = new BufferedAnswer();
    try {
      const result = await this.network.call(
        this.local,
        peer.endpoint,
        timeoutMs,
        () => peer.servePeer({...exchange, answer}),
      );
      if (result.kind === 'answered') answer.writeTo(exchange.answer);
      return result;
    } catch (error) {
      return createCallFailure(error as CallError);
    }
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Buffers an answer until it is complete or aborted. */
class BufferedAnswer implements AnswerSink {
  status = 0;
  isComplete = false;
  private headers: Record<string, string | string[]> = {};
  private readonly chunks: Buffer[] = [];

  startAnswer(
    status: number,
    headers: Record<string, string | string[]>,
  ): void {
    this.status = status;
    this.headers = headers;
  }

  writeChunk(chunk: Buffer): boolean {
    this.chunks.push(Buffer.from(chunk));
    return true;
  }

  waitForDrain(callback: () => void): void {
    callback();
  }

  endAnswer(): void {
    this.isComplete = true;
  }

  abort(): void {
    this.isComplete = false;
  }

  getBody(): string {
    return Buffer.concat(this.chunks).toString('utf8');
  }

  /** Writes the buffered answer to another sink. */
  writeTo(sink: AnswerSink): void {
    sink.startAnswer(this.status, this.headers);
    for (const chunk of this.chunks) sink.writeChunk(chunk);
    if (this.isComplete) sink.endAnswer({});
    else sink.abort();
  }
}

function createCallerAnswer(
  result: AttemptResult,
  answer: BufferedAnswer,
): CallerAnswer {
  if (result.kind === 'failed') {
    const {outcome, code} = result.failure;
    return {outcome, code, status: 0, body: ''};
  }
  const outcome = answer.isComplete ? 'completed' : 'unknown';
  const code = answer.isComplete ? '' : 'connection';
  return {outcome, code, status: answer.status, body: answer.getBody()};
}

function createRefusal(code: string): CallerAnswer {
  return {outcome: 'not-run', code, status: 0, body: ''};
}

function createCallFailure(error: CallError): AttemptResult {
  if (error.failure === 'refused')
    return createFailedResult('not-run', 'DD3008');
  const code = error.failure === 'timeout' ? 'DD3007' : 'DD3009';
  return createFailedResult('unknown', code);
}

function createFailedResult(
  outcome: Exclude<Outcome, 'completed'>,
  code: MessageCode,
): AttemptResult {
  const text = formatMessage(code);
  return {kind: 'failed', failure: {outcome, code, text, retryAfterMs: 0}};
}
