/**
 * Creates the components of a daemon, and starts and stops them in order.
 */
import {createLog, type Log} from '@dottereldrift/core/log.js';
import {getErrorText} from '@dottereldrift/core/errors.js';
import {createMetrics, type Metrics} from '@dottereldrift/core/metrics.js';
import {
  createNodeSystem,
  type System,
  waitFor,
} from '@dottereldrift/core/system.js';
import {EgressAdmission} from '@dottereldrift/limits/egress_admission.js';
import {
  createPacer,
  type EgressPacer,
} from '@dottereldrift/limits/egress_pacer.js';
import {createSlotPolicy} from '@dottereldrift/limits/slot_policies.js';
import type {SlotRefusal} from '@dottereldrift/limits/types.js';
import type {Session} from '@dottereldrift/membership/types.js';
import type {Datagram} from '@dottereldrift/rpc/gen/dottereldrift/v1/datagram_pb.js';
import type {Address, ServiceName, Token} from '@dottereldrift/core/types.js';

import {AssignmentRecovery} from './assignment_recovery.js';
import {BurnReport} from './burn_report.js';
import {
  type ControlCounters,
  CountingConfigurationSource,
  CountingStore,
  createCounters,
  StoreCallCounter,
} from './control_counters.js';
import {ConfigurationFollower} from './configuration_follower.js';
import {ConfigurationSurvey} from './configuration_survey.js';
import {Coordinator} from './coordinator.js';
import type {DatagramChannel} from './datagram_channel.js';
import {openListeners} from './daemon_listeners.js';
import {
  createNetworkAdapters,
  type ExternalAdapters,
} from './external_adapters.js';
import {Entry} from './entry.js';
import type {AttemptResult, Exchange} from './exchange.js';
import type {Forwarder} from './forwarder.js';
import {GaugeReporter} from './gauge_reporter.js';
import type {HostPlatform} from './host_platform.js';
import {LoadTracker} from './load_tracker.js';
import {LoadReporter} from './load_reporter.js';
import {LagGate} from './lag_gate.js';
import type {ListenerDrain} from './listener_drain.js';
import {LoopMonitor} from './loop_monitor.js';
import {SliceReleaser} from './slice_releaser.js';
import {OfferAdvisor} from './offer_advisor.js';
import {Owner} from './owner.js';
import type {PeerServiceDependencies} from './peer_listener.js';
import {PeerBackedStore} from './peer_backed_store.js';
import {PlacementPlanner} from './placement_planner.js';
import {ServerRegistry} from './server_registry.js';
import {PREVIOUS_GRANTS_LAPSE_MS, SessionManager} from './session_manager.js';
import {RefusalLog} from './refusal_log.js';
import {FailureLog} from './request_log.js';
import {RequestTally} from './request_tally.js';
import {countHostsByService} from './host_counts.js';
import type {Settings} from './settings.js';
import {
  createStopTimes,
  ShutdownGate,
  type StopTimes,
} from './shutdown_gate.js';
import {type ControlStatus, StatusReader} from './status.js';
import {StoreView} from './store_view.js';
import {Takeover} from './takeover.js';
import {
  createViewReplication,
  type ViewReplication,
} from './view_replication.js';
import {WitnessService} from './witness_service.js';

/** A running daemon. */
export interface Daemon {
  /** Hands over the owned slices, waits for running requests to finish and stops. */
  stop(): Promise<void>;
}

/** Time for callers and peers to close their connections after a response with `connection: close`. */
const CONNECTION_DRAIN_MS = 1_000;
const SHUTDOWN_LIMIT_MS = 30_000;
const SHUTDOWN_POLL_MS = 20;
/** Number of times that each peer is told that this daemon stops. */
const STOP_NOTICE_SENDINGS = 2;
/** Time for a stop notice to arrive, and for requests that crossed it to be read. */
const STOP_NOTICE_INTERVAL_MS = 50;

/** Creates and starts a daemon; rejects when an address is already in use. */
export async function createDaemon(settings: Settings): Promise<Daemon> {
  const system = createNodeSystem();
  const log = createLog('daemon', settings.log.format, settings.log.level);
  const adapters = createNetworkAdapters(settings, system, log);
  const daemon = new DaemonComponents(settings, system, adapters, log);
  await daemon.start();
  return daemon;
}

/** Creates and starts a daemon that uses a platform's store, callers' protocol and configuration. */
export async function createDaemonOnPlatform(
  settings: Settings,
  platform: HostPlatform,
): Promise<Daemon> {
  const system = createNodeSystem();
  const log = createLog('daemon', settings.log.format, settings.log.level);
  const adapters = {
    ...createNetworkAdapters(settings, system, log),
    store: platform.store,
  };
  const daemon = new DaemonComponents(
    settings,
    system,
    adapters,
    log,
    platform,
  );
  await daemon.start();
  return daemon;
}

/** The components of a daemon, independent of the network and the clock, which are passed in. */
export class DaemonComponents implements Daemon {
  private readonly metrics: Metrics;
  protected readonly store: PeerBackedStore;
  protected readonly view: StoreView;
  private readonly counters: ControlCounters = createCounters();
  private readonly viewReplication: ViewReplication;
  private readonly channel: DatagramChannel;
  protected readonly takeover: Takeover;
  protected readonly sessionManager: SessionManager;
  protected readonly witnessService: WitnessService;
  protected readonly registry: ServerRegistry;
  protected readonly owner: Owner;
  protected readonly sliceReleaser: SliceReleaser;
  private readonly forwarder: Forwarder;
  protected readonly entry: Entry;
  private readonly recovery: AssignmentRecovery;
  private readonly coordinator: Coordinator;
  private readonly loadTracker: LoadTracker;
  private readonly loadReporter: LoadReporter;
  private readonly report: BurnReport;
  private readonly requestLog: FailureLog;
  private readonly tally: RequestTally;
  /** Undefined when this host's responses are not paced. */
  private readonly pacer: EgressPacer | undefined;
  private readonly status: StatusReader;
  private readonly survey: ConfigurationSurvey;
  private readonly gaugeReporter: GaugeReporter;
  /** Defined only on a platform, whose configuration source it follows. */
  private readonly configuration: ConfigurationFollower | undefined;
  private readonly loopMonitor: LoopMonitor;
  private readonly lagGate: LagGate;
  private readonly shutdownGate: ShutdownGate;
  private readonly drains: ListenerDrain[] = [];
  protected readonly listeners: Array<{close(): PromiseLike<unknown>}> = [];
  private backgroundTasks: Array<Promise<void>> = [];
  private isLeaving = false;

  constructor(
    protected readonly settings: Settings,
    protected readonly system: System,
    private readonly adapters: ExternalAdapters,
    private readonly log: Log,
    private readonly platform?: HostPlatform,
  ) {
    const {limits} = settings;
    const {peers} = adapters;
    this.loopMonitor = new LoopMonitor(system);
    this.shutdownGate = new ShutdownGate(system);
    this.metrics =
      platform?.metrics ??
      createMetrics(settings.statsdAddress, this.log.createChild('metrics'));
    const storeCalls = new StoreCallCounter(this.counters, this.metrics);
    this.store = new PeerBackedStore(
      system,
      new CountingStore(adapters.store, storeCalls),
      peers,
      () => this.listHelpers(),
      this.log.createChild('store'),
    );
    this.view = new StoreView(system, this.log.createChild('store'));
    this.viewReplication = createViewReplication(
      settings,
      system,
      this.store,
      this.view,
      peers,
      this.counters,
      this.log,
    );
    this.channel = adapters.channel;
    const getSelf = () => this.sessionManager.getMember();
    this.takeover = new Takeover(
      this.store,
      this.view,
      peers,
      getSelf,
      (target, asked, sessionOrigin) =>
        this.witnessService.voteOnFence(target, asked, sessionOrigin),
      this.log.createChild('takeover'),
    );
    this.sessionManager = new SessionManager(
      {
        host: settings.host,
        dataCentre: settings.dataCentre,
        region: settings.region,
        peerAddress: getAdvertisedAddress(settings),
        callerPort: settings.callerAddress.port,
      },
      system,
      this.store,
      this.view,
      this.channel,
      {
        tryEnd: (session, version) =>
          this.tryEndPreviousSession(session, version),
      },
      this.log.createChild('session'),
    );
    this.witnessService = new WitnessService(
      system,
      getSelf,
      () => this.sessionManager.getReplaced(),
      this.view,
      this.channel,
      this.takeover,
      this.log.createChild('witness'),
    );
    this.registry = new ServerRegistry(
      system,
      this.sessionManager,
      (service, slots) => this.createPolicy(service, slots),
      {
        getAssignment: service => this.owner.getAssignment(service),
        getHighestToken: service => this.getHighestToken(service),
        getHeldSlices: service => this.owner.getHeldSlices(service),
        isExpecting: service => this.owner.isExpecting(service),
        mayGrant: service =>
          this.owner.mayGrant(service, member =>
            this.view.getSuccessor(member),
          ),
      },
      service => this.view.getManifest()?.manifest.services[service],
      this.log.createChild('servers'),
      adapters.createServerPool,
      {
        isGrantingByHeartbeat: settings.grants === 'answered',
        leavingAdmissionMs: settings.leavingAdmissionMs,
        maxHoldMs: settings.maxHoldMs,
        maxGrantBytes: settings.maxGrantBytes,
      },
    );
    this.pacer = createPacer(system, limits.linkBitsPerSecond);
    this.owner = new Owner(
      system,
      this.sessionManager,
      this.registry,
      limits,
      () => countHostsByService(this.view.getLiveSessions()),
      this.pacer && new EgressAdmission(this.pacer),
    );
    this.sliceReleaser = new SliceReleaser(
      system,
      this.view,
      this.owner,
      this.registry,
      peers,
      this.log.createChild('mover'),
    );
    this.forwarder = adapters.forwarder;
    this.entry = new Entry(
      system,
      this.view,
      this.owner,
      this.forwarder,
      settings.host,
      platform?.retryBudget,
    );
    this.configuration =
      platform &&
      new ConfigurationFollower(
        system,
        new CountingConfigurationSource(platform.configuration, storeCalls),
        this.view,
        () => this.viewReplication.follower.isStoreReader(),
        address => this.viewReplication.follower.updateFrom(address),
        this.log.createChild('configuration'),
      );
    this.viewReplication.follower.setReaderListener(() => {
      this.configuration?.startReading();
    });
    this.configuration?.setStoreBackListener(() => {
      this.viewReplication.follower.retryNow();
    });
    this.report = new BurnReport(system);
    this.requestLog = new FailureLog(
      system,
      this.log.createChild('request'),
      service => ({
        configuration: this.view.getManifest()?.generation ?? 0,
        assignment:
          this.view.getAssignment(service)?.assignment.generation ?? 0,
        storeSilenceMs: this.view.getSilenceMs(),
        loopLagMs: this.loopMonitor.getLagMs(),
      }),
    );
    this.tally = new RequestTally(
      system,
      this.log.createChild('tally'),
      this.counters,
    );
    this.lagGate = new LagGate(
      system,
      this.loopMonitor,
      this.tally,
      this.log.createChild('overload'),
    );
    this.entry.setEndListener((exchange, result, trail) => {
      this.tally.observe(exchange, result, trail);
    });
    this.loadTracker = new LoadTracker(system, settings.loadPace.reportMs);
    this.loadReporter = new LoadReporter(
      system,
      this.view,
      peers,
      this.loadTracker,
      getSelf,
      this.log.createChild('load'),
      settings.loadPace,
      service => this.registry.getServer(service)?.policy.getCapacity(),
    );
    this.owner.setAdmissionListener((service, start, position, count) => {
      this.loadReporter.addRequests(service, start, position, count);
    });
    const refusalLog = new RefusalLog(system, this.log.createChild('slots'));
    this.owner.setRefusalListener((exchange, refusal) => {
      refusalLog.observe(exchange, refusal);
      this.countRefusal(exchange, refusal);
    });
    this.status = new StatusReader(
      system,
      this.view,
      this.sessionManager,
      this.registry,
      this.owner,
      () => this.readControlStatus(),
    );
    this.survey = new ConfigurationSurvey(settings.host, this.view, peers);
    this.gaugeReporter = new GaugeReporter(
      system,
      this.metrics,
      this.status,
      this.loopMonitor,
      this.pacer,
    );
    this.recovery = new AssignmentRecovery(
      system,
      this.view,
      peers,
      getSelf,
      service => this.sliceReleaser.listReleases(service),
      this.counters,
      this.log.createChild('coordinator'),
    );
    this.coordinator = new Coordinator(
      system,
      this.store,
      this.view,
      peers,
      getSelf,
      () => this.sessionManager.isHeld(),
      (service, owner, nextOwner, refs) =>
        this.sliceReleaser.release(service, owner, nextOwner, refs),
      new PlacementPlanner(this.view, this.loadTracker, settings.loadPace),
      this.recovery,
      this.log.createChild('coordinator'),
    );
  }

  private countRefusal({target}: Exchange, {code, load}: SlotRefusal): void {
    this.metrics.addCount('slots.refused', 1, {
      service: target.service,
      code,
      nested: String(load.isNested === true),
    });
  }

  async start(): Promise<void> {
    await this.openListeners();
    await this.channel.open((datagram, from) => {
      this.receiveDatagram(datagram, from);
    });
    this.view.addListener(() => {
      this.applyView();
    });
    this.sessionManager.addRejoinListener(() => {
      this.owner.resetMember();
    });
    this.sessionManager.addRenewalListener(() => {
      this.registry.sendGrants();
    });
    this.loopMonitor.start();
    this.witnessService.start();
    this.registry.start();
    this.gaugeReporter.start();
    if (this.platform !== undefined) this.tally.start();
    this.backgroundTasks = [
      this.viewReplication.follower.run(),
      ...(this.configuration === undefined ? [] : [this.configuration.run()]),
      this.sessionManager.run(),
      this.coordinator.run(),
      this.loadReporter.run(),
    ];
    this.log.writeInfo('The daemon has started.', {host: this.settings.host});
  }

  async stop(): Promise<void> {
    const times = createStopTimes(this.platform?.graceMs ?? Infinity);
    if (this.platform === undefined) return this.stopComponents(times);
    // The platform kills the process at the end of the grace period, even with work in progress.
    this.shutdownGate.startStopping(times);
    const isStopped = await Promise.race([
      this.stopComponents(times).then(() => true),
      waitFor(this.system, times.requestsEndMs).then(() => false),
    ]);
    if (!isStopped) await this.endRequests(times);
  }

  /** Tells the callers of the requests in progress what is known of them, before the process exits. */
  private async endRequests({requestsEndMs, exitMs}: StopTimes): Promise<void> {
    const count = this.shutdownGate.endRequests();
    this.log.writeWarning(
      'The grace period is over; the requests in progress were ended.',
      {count},
    );
    await Promise.race([
      Promise.all(this.drains.map(drain => drain.close())),
      waitFor(this.system, exitMs - requestsEndMs),
    ]);
  }

  private async stopComponents({
    noticeMs,
    maxNoticeMs,
  }: StopTimes): Promise<void> {
    const isRestarting =
      this.settings.grants === 'answered' && this.registry.hasRemainingServer();
    this.log.writeInfo('The daemon is shutting down.', {
      isReturning: isRestarting,
    });
    this.isLeaving = true;
    if (!isRestarting) {
      this.registry.setDraining(true);
      this.sessionManager.startLeaving();
    }
    for (const drain of this.drains) drain.start();
    if (isRestarting) await waitFor(this.system, noticeMs);
    else await this.waitUntil(() => this.hasNoSlices(), maxNoticeMs);
    this.owner.startClosing();
    await Promise.all([
      this.sendStopNotices(),
      this.waitUntil(
        () => this.owner.getRunningCount() === 0,
        SHUTDOWN_LIMIT_MS,
      ),
    ]);
    this.coordinator.stop();
    this.loadReporter.stop();
    this.gaugeReporter.stop();
    this.tally.stop();
    this.loopMonitor.stop();
    this.witnessService.stop();
    this.viewReplication.relay.stop();
    // A backend server that keeps running keeps its grants; this daemon resumes them after its restart.
    if (!isRestarting) await this.registry.endGrants();
    await this.sessionManager.stop(isRestarting);
    await Promise.all(
      this.drains.map(drain => drain.waitUntilEmpty(CONNECTION_DRAIN_MS)),
    );
    await Promise.all(this.drains.map(drain => drain.close()));
    await Promise.all(this.listeners.map(listener => listener.close()));
    this.viewReplication.follower.stop();
    this.configuration?.stop();
    await this.registry.stop();
    await this.adapters.close();
    await this.platform?.close();
    this.metrics.close();
    this.log.writeInfo('The daemon has stopped.');
  }

  /** Announces to all peers that this daemon takes no more requests, and waits until they know. */
  private async sendStopNotices(): Promise<void> {
    const self = this.sessionManager.getMember();
    // A datagram may be lost.
    for (let sending = 0; sending < STOP_NOTICE_SENDINGS; sending++) {
      for (const {member, peerAddress} of this.view.getLiveSessions()) {
        if (member.host !== self.host)
          this.channel.sendStopNotice(peerAddress, self);
      }
      await waitFor(this.system, STOP_NOTICE_INTERVAL_MS);
    }
  }

  protected async openListeners(): Promise<void> {
    const {settings, system, entry, owner, registry} = this;
    const {store, view, takeover, status, report, survey} = this;
    const open = await openListeners({
      settings,
      system,
      entry,
      owner,
      registry,
      shutdownGate: this.shutdownGate,
      platform: this.platform,
      isReady: () => this.isReady(),
      lagGate: this.lagGate,
      offerAdvisor: new OfferAdvisor(system),
      pacer: this.pacer,
      operators: {store, view, takeover, status, report, survey},
      peers: this.getPeerServiceDependencies(),
      observe: (exchange, result) => {
        this.observe(exchange, result);
      },
      onInternalError: error => {
        this.log.writeError(
          'Request failed with an internal error; closing its connection.',
          {
            reason: getErrorText(error),
          },
        );
      },
    });
    this.listeners.push(...open.controlDrains);
    this.drains.push(...open.requestDrains);
  }

  protected getPeerServiceDependencies(): PeerServiceDependencies {
    return {
      witnessService: this.witnessService,
      owner: this.owner,
      sliceReleaser: this.sliceReleaser,
      loadTracker: this.loadTracker,
      relay: this.viewReplication.relay,
      recovery: this.recovery,
      store: this.store,
      survey: this.survey,
      system: this.system,
      getSelf: () => this.sessionManager.getMember(),
    };
  }

  /** Returns whether this daemon accepts requests of callers. */
  private isReady(): boolean {
    return (
      !this.isLeaving &&
      this.sessionManager.isJoined() &&
      this.view.getManifest() !== undefined
    );
  }

  /** Returns the daemon that this one follows, which hears from the store, and one drawn from the fleet. */
  private listHelpers(): readonly Address[] {
    const followed = this.viewReplication.follower.getFollowedAddress();
    const others = this.view
      .getLiveSessions()
      .filter(({member}) => member.host !== this.settings.host);
    const drawn = others[Math.floor(this.system.getRandom() * others.length)];
    return [
      ...(followed === undefined ? [] : [followed]),
      ...(drawn === undefined ? [] : [drawn.peerAddress]),
    ];
  }

  private receiveDatagram(datagram: Datagram, from: Address): void {
    const {body} = datagram;
    if (body.case === 'heartbeat' || body.case === 'heartbeatAnswer')
      this.configuration?.receiveGeneration(
        Number(body.value.configuration),
        from,
      );
    if (body.case === 'heartbeat') {
      const {host, incarnation, sequence} = body.value;
      this.witnessService.receiveHeartbeat(
        {host, incarnation},
        Number(sequence),
        from,
      );
    } else if (body.case === 'stopNotice') {
      const {host, incarnation} = body.value;
      this.entry.receiveStopNotice({host, incarnation});
    } else if (body.case === 'heartbeatAnswer') {
      const {host, incarnation, sequence, fenced} = body.value;
      const {witnessHost, witnessIncarnation} = body.value;
      const witness = {host: witnessHost, incarnation: witnessIncarnation};
      const target = {host, incarnation};
      this.sessionManager.receiveAnswer(
        target,
        witness,
        Number(sequence),
        fenced,
      );
    }
  }

  private applyView(): void {
    for (const {assignment} of this.view.getGrantableAssignments()) {
      this.owner.applyAssignment(assignment);
      this.loadReporter.applyAssignment(assignment);
    }
    this.witnessService.fenceEnded();
    const isDraining = this.view.isDraining(this.settings.host);
    const isEnding = this.isLeaving && this.sessionManager.hasStartedLeaving();
    this.registry.setDraining(isEnding || isDraining);
    this.registry.sendGrants();
  }

  /** Returns the highest token that a server on this host may have been granted, also by an earlier process. */
  private getHighestToken(service: ServiceName): Token {
    const generation = this.owner.getAssignment(service)?.generation ?? 0;
    return Math.max(generation, this.recovery.getHighestLostToken(service));
  }

  /**
   * Ends the session of an earlier incarnation on this host. If that incarnation recorded the peer
   * address that this process now listens on, its process is gone, so it is enough to wait until its
   * grants have expired with its lease. Otherwise its witnesses must fence it.
   */
  private async tryEndPreviousSession(
    session: Session,
    version: number,
  ): Promise<boolean> {
    const {ip, port} = session.peerAddress;
    const peerAddress = getAdvertisedAddress(this.settings);
    if (ip !== peerAddress.ip || port !== peerAddress.port) {
      return this.takeover.tryEndMember(session.member);
    }
    await waitFor(this.system, PREVIOUS_GRANTS_LAPSE_MS);
    return this.takeover.tryWriteEnd(session, version);
  }

  private createPolicy(service: string, slots: number) {
    const getMaxQueued = () =>
      this.view.getManifest()?.manifest.services[service]?.maxQueued ?? 1;
    const {slotPolicy, queuedBytes} = this.settings.limits;
    const bounds = {getMaxQueued, maxQueuedBytes: queuedBytes};
    return createSlotPolicy(slotPolicy, this.system, slots, bounds);
  }

  private observe(exchange: Exchange, result: AttemptResult): void {
    this.report.observe(exchange, result);
    this.requestLog.observe(exchange, result);
    const outcome =
      result.kind === 'answered' ? 'completed' : result.failure.outcome;
    const tags = {
      service: exchange.target.service,
      kind: exchange.kind.name,
      outcome,
    };
    const tookMs =
      this.system.getNow().monotonicMs - exchange.receivedAt.monotonicMs;
    this.metrics.recordDurationMs('request', tookMs, tags);
    if (result.kind === 'failed') {
      const {service} = exchange.target;
      const {code} = result.failure;
      this.metrics.addCount('requests.failed', 1, {service, code});
    }
  }

  private readControlStatus(): ControlStatus {
    const {follower, relay} = this.viewReplication;
    return {
      source: follower.getSource(),
      followers: relay.getFollowerCount(),
      ...this.counters,
    };
  }

  private hasNoSlices(): boolean {
    const {host} = this.settings;
    return this.view
      .getAssignments()
      .every(({assignment}) =>
        assignment.slices.every(slice => slice.owner?.host !== host),
      );
  }

  private async waitUntil(
    isDone: () => boolean,
    limitMs: number,
  ): Promise<void> {
    const endMs = this.system.getNow().monotonicMs + limitMs;
    while (!isDone() && this.system.getNow().monotonicMs < endMs) {
      await waitFor(this.system, SHUTDOWN_POLL_MS);
    }
  }
}

/** Returns the address at which other daemons reach this one. */
function getAdvertisedAddress(settings: Settings): Address {
  return settings.advertisedPeerAddress ?? settings.peerAddress;
}
