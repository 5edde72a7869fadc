/**
 * Tests when an owner reports its load.
 */
import test from 'ava';

import {createLog} from '@dottereldrift/core/log.js';
import type {Address, Member} from '@dottereldrift/core/types.js';
import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';
import {createSlices} from '@dottereldrift/ownership/slices.js';
import type {Assignment} from '@dottereldrift/ownership/types.js';

import {getReportIntervalMs, LoadTracker} from '../src/load_tracker.js';
import {LoadReporter} from '../src/load_reporter.js';
import type {PeerClients} from '../src/peer_client.js';
import type {StoreView} from '../src/store_view.js';
import {ManualSystem} from './fakes.js';

const SELF = {host: 'h1', incarnation: 'a'};
const LOAD_SETTINGS = {
  decayMs: 1_500,
  settleMs: 0,
  reportMs: 500,
  maxDeviation: 0.2,
  mergeFactor: 1,
};
const ASSIGNMENT: Assignment = {
  service: 'menu',
  generation: 1,
  writer: SELF,
  slices: createSlices(2).map(slice => ({...slice, owner: SELF, token: 1})),
};

/** Runs the load reporter of the first of several owners, with one slice each, in virtual time. */
class Fixture {
  readonly system = new VirtualSystem(() => 0.5);
  readonly reports: Array<{readonly to: string; readonly atMs: number}> = [];
  private readonly reporter: LoadReporter;
  private live: readonly Member[];

  constructor(owners: number) {
    const members = Array.from({length: owners}, (_, index) =>
      index === 0 ? SELF : {host: `h${index + 1}`, incarnation: 'a'},
    );
    this.live = members;
    const view = {
      getLiveMembers: () => this.live,
      getSession: (host: string) => ({
        session: {peerAddress: {ip: host, port: 1}},
      }),
    } as unknown as StoreView;
    const peers = {
      getClient: ({ip}: Address) => ({
        reportLoad: () => this.record(ip),
      }),
    } as unknown as PeerClients;
    const loads = new LoadTracker(this.system, LOAD_SETTINGS.reportMs);
    loads.receiveReport = () => {
      void this.record(SELF.host);
    };
    const log = createLog('test', 'hidden', 'error');
    this.reporter = new LoadReporter(
      this.system,
      view,
      peers,
      loads,
      () => SELF,
      log,
      LOAD_SETTINGS,
    );
    const slices = createSlices(owners).map((slice, index) => ({
      ...slice,
      owner: members[index],
      token: 1,
    }));
    this.reporter.applyAssignment({...ASSIGNMENT, slices});
    void this.reporter.run();
  }

  /** Advances time while requests arrive at a steady rate for the slice of this owner. */
  async run(durationMs: number, requestsPerSecond: number): Promise<void> {
    const startMs = this.system.getNow().monotonicMs;
    const stepMs = 10;
    let requests = 0;
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      this.system.runUntil(startMs + passedMs);
      for (let turn = 0; turn < 10; turn++) await Promise.resolve();
      for (; requests < (passedMs * requestsPerSecond) / 1_000; requests++)
        this.reporter.addRequests('menu', 0, requests % 97, 1);
    }
  }

  removeCoordinator(): void {
    const last = this.reports[this.reports.length - 1];
    this.live = this.live.filter(({host}) => host !== last?.to);
  }

  countSince(atMs: number): number {
    return this.reports.filter(report => report.atMs >= atMs).length;
  }

  getNowMs(): number {
    return this.system.getNow().monotonicMs;
  }

  private record(to: string): Promise<unknown> {
    this.reports.push({to, atMs: this.getNowMs()});
    return Promise.resolve({});
  }
}

const OWNERS = 35;
const REGULAR_INTERVAL_MS = getReportIntervalMs(OWNERS, LOAD_SETTINGS.reportMs);

test('in a large fleet, an owner reports a large increase of its load within 1.5 seconds', async t => {
  const fixture = new Fixture(OWNERS);
  await fixture.run(30_000, 20);
  const atMs = fixture.getNowMs();
  const steadyReports = fixture.countSince(0);
  t.true(steadyReports <= 30_000 / REGULAR_INTERVAL_MS + 3, `${steadyReports}`);
  await fixture.run(1_500, 100);
  t.true(fixture.countSince(atMs) >= 1);
});

test('in a large fleet, an owner reports to a new coordinator within 1.5 seconds', async t => {
  const fixture = new Fixture(OWNERS);
  await fixture.run(30_000, 20);
  fixture.removeCoordinator();
  const atMs = fixture.getNowMs();
  await fixture.run(1_500, 20);
  t.true(fixture.countSince(atMs) >= 1);
});

test('the report interval depends on the number of owners of the service, not on the size of the fleet', async t => {
  const system = new ManualSystem();
  let reports = 0;
  const countReport = () => {
    reports += 1;
    return Promise.resolve({});
  };
  const sessions = Array.from({length: 14}, (_, index) => ({
    member: {host: `h${index + 1}`, incarnation: 'a'},
    peerAddress: {ip: '127.0.0.1', port: 1},
  }));
  const members = sessions.map(({member}) => member);
  const view = {
    getLiveMembers: () => members,
    getSession: () => ({session: sessions[1]}),
  } as unknown as StoreView;
  const peers = {
    getClient: () => ({reportLoad: countReport}),
  } as unknown as PeerClients;
  const loads = new LoadTracker(system, LOAD_SETTINGS.reportMs);
  loads.receiveReport = () => {
    void countReport();
  };
  const reporter = new LoadReporter(
    system,
    view,
    peers,
    loads,
    () => SELF,
    createLog('test', 'hidden', 'error'),
    LOAD_SETTINGS,
  );
  reporter.applyAssignment(ASSIGNMENT);
  void reporter.run();
  reporter.addRequests('menu', 0, 1, 1);
  system.shift(LOAD_SETTINGS.reportMs);
  for (let turn = 0; turn < 5; turn++) await Promise.resolve();
  t.is(reports, 1);
});
