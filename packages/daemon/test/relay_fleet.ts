/**
 * Simulates the store views of several daemons in virtual time. Each daemon has its own follower
 * and relay over one in-memory store; links can be paused and daemons can be disconnected from the
 * store.
 */
import * as E from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';

import {createLog} from '@dottereldrift/core/log.js';
import {waitFor} from '@dottereldrift/core/system.js';
import type {Address} from '@dottereldrift/core/types.js';
import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';
import type {AcceptedManifest} from '@dottereldrift/manifest/types.js';
import {
  encodeSession,
  getSessionKey,
} from '@dottereldrift/membership/session_record.js';
import {MemoryStore} from '@dottereldrift/store/memory_store.js';
import type {ObjectStore, StoreFailure} from '@dottereldrift/store/types.js';

import {
  CountingStore,
  createCounters,
  StoreCallCounter,
} from '../src/control_counters.js';
import type {PeerClient} from '../src/peer_client.js';
import {RelayClient} from '../src/relay_client.js';
import {RelayServer} from '../src/relay_server.js';
import {ACCEPTED_MANIFEST_KEY, StoreView} from '../src/store_view.js';
import {StoreWatcher} from '../src/store_watcher.js';
import {ViewFollower} from '../src/view_follower.js';

const LOG = createLog('test', 'hidden', 'error');
const STEP_MS = 20;
const FIRST_PORT = 1_000;
const FLUSHES_PER_STEP = 4;

/** The store view of one daemon with its follower and relay. */
export class RelayNode {
  readonly view: StoreView;
  readonly follower: ViewFollower;
  readonly relay: RelayServer;
  readonly counters = createCounters();
  isPaused = false;
  isCutOff = false;
  /** Whether its streams end after their first message. */
  hasShortStreams = false;
  /** Number of streams that others have opened to it. */
  streams = 0;

  constructor(
    readonly name: string,
    readonly address: Address,
    fleet: RelayFleet,
    peers: readonly Address[],
    readonly dataCentre: string,
  ) {
    const {system} = fleet;
    this.view = new StoreView(system, LOG);
    const store = new CountingStore(
      createInterruptibleStore(fleet, this),
      new StoreCallCounter(this.counters, {addCount: () => {}}),
    );
    const watcher = new StoreWatcher(system, store, this.view, LOG);
    const client = new RelayClient(
      system,
      this.view,
      {getClient: to => fleet.createClient(to)},
      this.counters,
      LOG,
    );
    this.relay = new RelayServer(system, this.view, this.counters);
    this.follower = new ViewFollower(
      {host: name, dataCentre, peers, isRelayed: true},
      system,
      this.view,
      watcher,
      client,
      LOG,
    );
  }

  getGeneration(): number {
    return this.view.getManifest()?.generation ?? 0;
  }
}

/** A set of nodes, all in data centre `dc1` unless another is given. */
export class RelayFleet {
  readonly system: VirtualSystem;
  readonly store: MemoryStore;
  readonly nodes: RelayNode[] = [];
  isStoreDown = false;
  private manifestVersion = 0;

  constructor(random: () => number) {
    this.system = new VirtualSystem(random);
    this.store = new MemoryStore(this.system);
  }

  /** Adds a daemon and writes its session, if the store is available. */
  async addNode(name: string, dataCentre = 'dc1'): Promise<RelayNode> {
    const port = FIRST_PORT + this.nodes.length;
    const address = {ip: '127.0.0.1', port};
    const peers = this.nodes.map(node => node.address);
    const node = new RelayNode(name, address, this, peers, dataCentre);
    this.nodes.push(node);
    const session = encodeSession({
      member: {host: name, incarnation: 'a'},
      dataCentre,
      region: 'r1',
      peerAddress: address,
      callerPort: 1,
      witnesses: [],
      servers: [],
      isEnded: false,
      isLeaving: false,
    });
    if (!this.isStoreDown)
      await this.store.updateObject(getSessionKey(name), 0, session)();
    void node.follower.run();
    return node;
  }

  /** Writes an accepted manifest with the given generation. */
  async writeManifest(generation: number): Promise<void> {
    const accepted: AcceptedManifest = {
      generation,
      sourceVersion: generation,
      manifest: {services: {}},
    };
    const value = Buffer.from(JSON.stringify(accepted));
    const written = await this.store.updateObject(
      ACCEPTED_MANIFEST_KEY,
      this.manifestVersion,
      value,
    )();
    if (E.isRight(written)) this.manifestVersion = written.right;
  }

  /** Advances virtual time, letting promises settle in between. */
  async runFor(durationMs: number): Promise<void> {
    const endMs = this.system.getNow().monotonicMs + durationMs;
    while (this.system.getNow().monotonicMs < endMs) {
      this.system.runUntil(this.system.getNow().monotonicMs + STEP_MS);
      for (let flush = 0; flush < FLUSHES_PER_STEP; flush++)
        await new Promise(resolve => setImmediate(resolve));
    }
  }

  getRelays(): readonly RelayNode[] {
    return this.nodes.filter(node => node.follower.getSource() === 'store');
  }

  stop(): void {
    for (const node of this.nodes) node.follower.stop();
  }

  createClient(to: Address): PeerClient {
    const node = this.nodes.find(other => other.address.port === to.port);
    if (node === undefined)
      throw new Error('No daemon has the requested address.');
    const followObjects = (
      request: {readonly revision: bigint},
      options: {readonly signal: AbortSignal},
    ) => forwardMessages(node, Number(request.revision), options.signal);
    return {followObjects} as unknown as PeerClient;
  }
}

/**
 * Forwards a node's messages. While the node is paused it forwards none, and fails once the
 * receiver aborts.
 */
async function* forwardMessages(
  node: RelayNode,
  revision: number,
  signal: AbortSignal,
) {
  const aborted = new Promise<undefined>(resolve => {
    signal.addEventListener('abort', () => resolve(undefined), {once: true});
  });
  node.streams += 1;
  for await (const message of node.relay.serveFollower(revision, signal)) {
    if (node.isPaused) {
      await aborted;
      throw new Error('The receiver aborted the stream.');
    }
    yield message;
    if (node.hasShortStreams) return;
  }
}

function createInterruptibleStore(
  fleet: RelayFleet,
  node: RelayNode,
): ObjectStore {
  const {store} = fleet;
  const guard = <T>(
    call: TaskEither<StoreFailure, T>,
  ): TaskEither<StoreFailure, T> => {
    const isCut = () => node.isCutOff || fleet.isStoreDown;
    return async () => {
      while (node.isPaused) await waitFor(fleet.system, STEP_MS);
      if (isCut()) return E.left({kind: 'unavailable', text: 'cut off'});
      const answer = await call();
      return isCut() ? E.left({kind: 'unavailable', text: 'cut off'}) : answer;
    };
  };
  return {
    getObject: key => guard(store.getObject(key)),
    listObjects: prefix => guard(store.listObjects(prefix)),
    updateObject: (key, version, value) =>
      guard(store.updateObject(key, version, value)),
    deleteObject: (key, version) => guard(store.deleteObject(key, version)),
    watchObjects: (prefix, revision, waitMs) =>
      guard(store.watchObjects(prefix, revision, waitMs)),
  };
}
