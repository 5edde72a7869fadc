/**
 * Tests what the view keeps when the store is restored from a backup that lacks the latest writes.
 */
import test from 'ava';

import {createLog} from '@dottereldrift/core/log.js';
import type {AcceptedManifest} from '@dottereldrift/manifest/types.js';
import {
  encodeSession,
  getSessionKey,
} from '@dottereldrift/membership/session_record.js';
import type {Session} from '@dottereldrift/membership/types.js';
import {
  encodeAssignment,
  getAssignmentKey,
} from '@dottereldrift/ownership/assignment_record.js';
import type {StoredObject} from '@dottereldrift/store/types.js';
import {
  createVersion,
  formatVersion,
  getExpectedVersion,
  getOrigin,
} from '@dottereldrift/store/version.js';

import {ACCEPTED_MANIFEST_KEY, StoreView} from '../src/store_view.js';
import {ManualSystem} from './fakes.js';

const HOST = 'h1';
const SESSION_KEY = getSessionKey(HOST);
const ASSIGNMENT_KEY = getAssignmentKey('menu');

function createView(): StoreView {
  return new StoreView(
    new ManualSystem(),
    createLog('test', 'hidden', 'error'),
  );
}

function createSession(incarnation: string): Session {
  return {
    member: {host: HOST, incarnation},
    dataCentre: 'dc1',
    region: 'r1',
    peerAddress: {ip: '127.0.0.1', port: 1},
    callerPort: 2,
    witnesses: [],
    servers: [],
    isEnded: false,
    isLeaving: false,
  };
}

function encodeManifest(generation: number): Uint8Array {
  const accepted: AcceptedManifest = {
    generation,
    sourceVersion: 1,
    manifest: {services: {}},
  };
  return Buffer.from(JSON.stringify(accepted));
}

function createConfiguration(
  era: number,
  revision: number,
  generation: number,
): StoredObject {
  const version = createVersion(era, revision);
  const value = encodeManifest(generation);
  return {key: ACCEPTED_MANIFEST_KEY, version, value};
}

/** Returns an object as it is read in an era after it was written in another one. */
function createObject(
  key: string,
  value: Uint8Array,
  [writtenEra, readEra]: readonly [number, number],
  revision: number,
): StoredObject {
  return {
    key,
    value,
    version: createVersion(readEra, revision),
    origin: createVersion(writtenEra, revision),
  };
}

function createSessionObject(
  incarnation: string,
  eras: readonly [number, number],
  revision: number,
): StoredObject {
  const value = encodeSession(createSession(incarnation));
  return createObject(SESSION_KEY, value, eras, revision);
}

function createAssignmentObject(
  generation: number,
  eras: readonly [number, number],
  revision: number,
): StoredObject {
  const writer = {host: HOST, incarnation: 'a'};
  const assignment = {service: 'menu', generation, slices: [], writer};
  const value = encodeAssignment(assignment);
  return createObject(ASSIGNMENT_KEY, value, eras, revision);
}

function readSession(view: StoreView) {
  const known = view.getSession(HOST);
  return (
    known && {
      incarnation: known.session.member.incarnation,
      version: formatVersion(known.version),
      origin: formatVersion(getOrigin(known)),
      expected: formatVersion(getExpectedVersion(known)),
    }
  );
}

test('a configuration written after the store was restored takes effect although its revision is lower', t => {
  const view = createView();
  view.applyObject(createConfiguration(1, 900, 7));
  view.applyObject(createConfiguration(2, 300, 8));
  t.is(view.getManifest()?.generation, 8);
});

test('a configuration never goes back to the one in an older backup', t => {
  const view = createView();
  view.applyObject(createConfiguration(1, 900, 7));
  view.applyObject(createConfiguration(2, 300, 6));
  t.is(view.getManifest()?.generation, 7);
  const passedOn = view.getObject(ACCEPTED_MANIFEST_KEY);
  t.deepEqual(passedOn?.value, encodeManifest(7));
  t.is(passedOn?.version, createVersion(2, 300));
});

test('a configuration that another daemon remembers replaces the one of the backup', t => {
  const view = createView();
  view.applyObject(createConfiguration(2, 300, 6));
  view.applyObject(createConfiguration(1, 900, 7));
  t.is(view.getManifest()?.generation, 7);
  t.is(view.getAcceptedVersion(), createVersion(2, 300));
});

test('a session in an older backup does not replace the one written last', t => {
  const view = createView();
  view.applyObject(createSessionObject('b', [1, 1], 900));
  view.applyObject(createSessionObject('a', [1, 2], 300));
  t.deepEqual(readSession(view), {
    incarnation: 'b',
    version: '2.300',
    origin: '1.900',
    expected: '2.300',
  });
});

test('a session written after the store was restored replaces one with a higher revision', t => {
  const view = createView();
  view.applyObject(createSessionObject('a', [1, 1], 900));
  view.applyObject(createSessionObject('b', [2, 2], 300));
  t.is(readSession(view)?.incarnation, 'b');
});

test('a session that the backup lacks is kept and is expected not to exist', t => {
  const view = createView();
  view.setRevision(createVersion(1, 900));
  view.applyObject(createSessionObject('b', [1, 1], 900));
  view.setRevision(createVersion(2, 300));
  view.removeUnlisted([], createVersion(2, 300));
  t.deepEqual(readSession(view), {
    incarnation: 'b',
    version: '2.300',
    origin: '1.900',
    expected: '0.0',
  });
  view.applyObject(createSessionObject('b', [2, 2], 301));
  t.is(readSession(view)?.expected, '2.301');
});

test('a session that is missing in a listing of the same era is removed', t => {
  const view = createView();
  view.applyObject(createSessionObject('b', [1, 1], 900));
  view.removeUnlisted([], createVersion(1, 901));
  t.is(view.getSession(HOST), undefined);
});

test('a value that another daemon remembers replaces the one of the backup', t => {
  const view = createView();
  view.applyObject(createAssignmentObject(4, [1, 2], 300));
  const remembered = createAssignmentObject(9, [1, 1], 900);
  view.applyObject({...remembered, version: createVersion(2, 250)});
  const known = view.getAssignment('menu');
  t.is(known?.assignment.generation, 9);
  t.is(known && getExpectedVersion(known), createVersion(2, 300));
});

test('only a daemon that was there before the store was restored is certain of older values', t => {
  const before = createView();
  before.setRevision(createVersion(1, 900));
  const after = createView();
  after.setRevision(createVersion(2, 300));
  const object = createAssignmentObject(4, [1, 2], 300);
  t.false(before.isUncertain(object));
  t.true(after.isUncertain(object));
  const rewritten = createAssignmentObject(5, [2, 2], 301);
  t.false(after.isUncertain(rewritten));
});

test('a session that the backup lacks is kept at every listing until it is written again', t => {
  const view = createView();
  view.setRevision(createVersion(1, 900));
  view.applyObject(createSessionObject('b', [1, 1], 900));
  for (const revision of [300, 305]) {
    view.setRevision(createVersion(2, revision));
    view.removeUnlisted([], createVersion(2, revision));
  }
  t.deepEqual(readSession(view), {
    incarnation: 'b',
    version: '2.305',
    origin: '1.900',
    expected: '0.0',
  });
});

test('an older record of absence does not make a present object absent', t => {
  const view = createView();
  const present = createSessionObject('a', [1, 3], 150);
  view.applyObject({...present, origin: createVersion(1, 150)});
  const absent = createSessionObject('b', [1, 2], 210);
  const origin = createVersion(1, 280);
  view.applyObject({...absent, origin, isAbsent: true});
  t.deepEqual(readSession(view), {
    incarnation: 'b',
    version: '3.150',
    origin: '1.280',
    expected: '3.150',
  });
});

test('a write of a daemon that did not know the new era yet is not adopted, and its object is to be written again', t => {
  const view = createView();
  view.applyObject(createSessionObject('a', [2, 2], 300));
  t.true(view.isCurrent(SESSION_KEY, 0));
  view.applyObject(createSessionObject('b', [1, 2], 301));
  t.deepEqual(readSession(view), {
    incarnation: 'a',
    version: '2.301',
    origin: '2.300',
    expected: '2.301',
  });
  t.false(view.isCurrent(SESSION_KEY, 0));
});

test('daemons that saw such a write and those that saw what it replaced agree in the end', t => {
  const before = createSessionObject('a', [2, 2], 300);
  const late = createSessionObject('b', [1, 2], 301);
  const orders = [
    [before, late],
    [late, before],
    [late, {...before, version: late.version, origin: before.version}],
  ];
  const incarnations = orders.map(objects => {
    const view = createView();
    for (const object of objects) view.applyObject(object);
    return readSession(view)?.incarnation;
  });
  t.deepEqual(incarnations, ['a', 'a', 'a']);
});

test('a configuration number that is used again after a restoration takes effect with its new content', t => {
  const view = createView();
  view.applyObject(createConfiguration(1, 900, 7));
  const value = Buffer.from(
    JSON.stringify({
      generation: 7,
      sourceVersion: 2,
      manifest: {services: {}, routes: []},
    }),
  );
  view.applyObject({...createConfiguration(2, 300, 7), value});
  t.deepEqual(view.getManifest()?.manifest.routes, []);
  view.applyObject(createConfiguration(1, 900, 7));
  t.deepEqual(view.getManifest()?.manifest.routes, []);
});

test('in a store without eras a lower version changes nothing', t => {
  const view = createView();
  view.applyObject(createSessionObject('b', [0, 0], 900));
  view.applyObject(createSessionObject('a', [0, 0], 300));
  t.is(readSession(view)?.incarnation, 'b');
});
