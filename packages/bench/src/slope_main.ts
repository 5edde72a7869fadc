/**
 * Measures the scaling factors behind docs/CAPACITY.md, each at three or more sizes: memory and bytes of
 * routes, sessions and idempotency keys, and time of encoding, parsing, lookups and heartbeats.
 * `node --expose-gc slope_main.js`.
 */
import {createSocket} from 'node:dgram';

import {createLog} from '@dottereldrift/core/log.js';
import {hashKey} from '@dottereldrift/core/ring_hash.js';
import type {Member} from '@dottereldrift/core/types.js';
import {UdpChannel} from '@dottereldrift/daemon/datagram_channel.js';
import {IdempotencyWindow} from '@dottereldrift/limits/idempotency_window.js';
import {
  encodeSession,
  parseSession,
} from '@dottereldrift/membership/session_record.js';
import type {Session} from '@dottereldrift/membership/types.js';
import {
  encodeAssignment,
  parseAssignment,
} from '@dottereldrift/ownership/assignment_record.js';
import {createSlices, findSlice} from '@dottereldrift/ownership/slices.js';
import type {Assignment} from '@dottereldrift/ownership/types.js';

import {formatTable} from './text_table.js';

const SIZES: readonly number[] = [50, 100, 200, 410];
const SLICES_PER_SERVER = 64;
const WINDOW_SIZES: readonly number[] = [25_000, 50_000, 100_000];
const LOOKUPS = 1_000_000;
const HEARTBEAT_COUNTS: readonly number[] = [5_000, 10_000, 20_000];
const HEARTBEAT_BATCH = 50;
const US_PER_MS = 1_000;
const NS_PER_MS = 1e6;
const CHANNEL_IP = '127.0.0.1';

/** Measures the heap that a value retains, in bytes. */
function measureHeap<T>(create: () => T): {value: T; bytes: number} {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const value = create();
  collectGarbage();
  return {value, bytes: process.memoryUsage().heapUsed - before};
}

function collectGarbage(): void {
  const collect = (globalThis as {readonly gc?: () => void}).gc;
  if (collect === undefined)
    throw new Error('Garbage collection is not exposed; run with --expose-gc.');
  collect();
  collect();
}

function measureMs(run: () => void): number {
  const startMs = performance.now();
  run();
  return performance.now() - startMs;
}

function createMembers(count: number): readonly Member[] {
  return Array.from({length: count}, (_, index) => ({
    host: `host-${String(index).padStart(4, '0')}`,
    incarnation: `abcdefgh${String(index).padStart(4, '0')}`,
  }));
}

function createAssignment(servers: number): Assignment {
  const members = createMembers(servers);
  const slices = createSlices(servers * SLICES_PER_SERVER).map(
    (slice, index) => ({
      ...slice,
      owner: members[index % servers],
      token: 1_000 + index,
    }),
  );
  return {
    service: 'menu',
    generation: 100_000,
    slices,
    writer: members[0] as Member,
  };
}

function createSession(members: readonly Member[], index: number): Session {
  return {
    member: members[index] as Member,
    dataCentre: `dc-${index % 11}`,
    region: `region-${index % 3}`,
    peerAddress: {ip: `10.0.${index % 250}.1`, port: 7102},
    callerPort: 7101,
    witnesses: members.slice(0, 5),
    servers: [
      {
        service: 'menu',
        address: {ip: `10.0.${index % 250}.1`, port: 7110},
        slots: 6,
        connections: 120,
        isLeaving: false,
      },
    ],
    isEnded: false,
    isLeaving: false,
  };
}

function measureRoutes(): readonly (readonly string[])[] {
  return SIZES.map(servers => {
    const bytes = encodeAssignment(createAssignment(servers));
    const parsed = measureHeap(() => parseAssignment(bytes));
    const encodeMs = measureMs(() => encodeAssignment(parsed.value));
    const parseMs = measureMs(() => parseAssignment(bytes));
    const {slices} = parsed.value;
    let found = 0;
    const lookupMs = measureMs(() => {
      for (let index = 0; index < LOOKUPS; index++) {
        const position = (index * 2_654_435_761) >>> 0;
        found += findSlice(slices, position)?.token ?? 0;
      }
    });
    return [
      String(servers),
      String(slices.length),
      String(bytes.byteLength),
      (bytes.byteLength / slices.length).toFixed(1),
      (parsed.bytes / slices.length).toFixed(0),
      encodeMs.toFixed(1),
      parseMs.toFixed(1),
      found > 0 ? ((lookupMs * NS_PER_MS) / LOOKUPS).toFixed(0) : '',
    ];
  });
}

function measureSessions(): readonly (readonly string[])[] {
  return SIZES.map(count => {
    const members = createMembers(count);
    const encoded = members.map((_, index) =>
      encodeSession(createSession(members, index)),
    );
    const bytes = encoded.reduce((sum, value) => sum + value.byteLength, 0);
    const parsed = measureHeap(() => encoded.map(parseSession));
    const parseMs = measureMs(() => encoded.map(parseSession));
    return [
      String(count),
      (bytes / count).toFixed(0),
      (parsed.bytes / count).toFixed(0),
      ((parseMs * US_PER_MS) / count).toFixed(1),
    ];
  });
}

function measureIdempotencyWindows(): readonly (readonly string[])[] {
  return WINDOW_SIZES.map(count => {
    const measured = measureHeap(() => {
      const window = new IdempotencyWindow({
        maxEntries: count,
        maxBytes: 1e9,
        retentionMs: 1e9,
      });
      for (let index = 0; index < count; index++) {
        window.startRequest(
          {idempotencyKey: `once-${index}`, fingerprint: ''},
          hashKey(`key-${index}`),
          index,
        );
      }
      return window;
    });
    return [String(count), (measured.bytes / count).toFixed(0)];
  });
}

async function measureHeartbeats(): Promise<readonly (readonly string[])[]> {
  const rows: (readonly string[])[] = [];
  for (const count of HEARTBEAT_COUNTS)
    rows.push(await measureHeartbeatRow(count));
  return rows;
}

/** Sender and witness run in this process, so one end is reported as half of the measured processor time. */
async function measureHeartbeatRow(count: number): Promise<readonly string[]> {
  const log = createLog('bench', 'hidden', 'error');
  const witnessAddress = {ip: CHANNEL_IP, port: await findFreePort()};
  const holderAddress = {ip: CHANNEL_IP, port: await findFreePort()};
  const witness = new UdpChannel(witnessAddress, 'bench-key', log);
  const holder = new UdpChannel(holderAddress, 'bench-key', log);
  let answered = 0;
  await witness.open((datagram, from) => {
    const sequence =
      datagram.body.case === 'heartbeat' ? datagram.body.value.sequence : 0n;
    witness.sendAnswer(from, {
      host: 'host-0000',
      incarnation: 'abcdefgh0000',
      witnessHost: 'host-0001',
      witnessIncarnation: 'abcdefgh0001',
      sequence: Number(sequence),
      fenced: false,
      configuration: 1,
    });
  });
  await holder.open(() => {
    answered += 1;
  });
  const before = process.cpuUsage();
  for (let sent = 0; sent < count; sent += HEARTBEAT_BATCH) {
    for (let index = 0; index < HEARTBEAT_BATCH; index++) {
      const sequence = sent + index;
      const member = {host: 'host-0000', incarnation: 'abcdefgh0000'};
      holder.sendHeartbeat(witnessAddress, {
        ...member,
        sequence,
        configuration: 1,
      });
    }
    while (answered < sent + HEARTBEAT_BATCH) {
      await new Promise(resolve => setImmediate(resolve));
    }
  }
  const spent = process.cpuUsage(before);
  witness.close();
  holder.close();
  const bothUs = (spent.user + spent.system) / count;
  return [String(count), bothUs.toFixed(1), (bothUs / 2).toFixed(1)];
}

function findFreePort(): Promise<number> {
  return new Promise(resolve => {
    const socket = createSocket('udp4');
    socket.bind(0, CHANNEL_IP, () => {
      const {port} = socket.address();
      socket.close(() => {
        resolve(port);
      });
    });
  });
}

function printSection(
  title: string,
  headers: readonly string[],
  rows: readonly (readonly string[])[],
): void {
  process.stdout.write(`${title}\n${formatTable([headers, ...rows])}\n\n`);
}

printSection(
  'Routes of one service',
  [
    'servers',
    'slices',
    'object bytes',
    'bytes/slice',
    'heap bytes/slice',
    'encode ms',
    'parse ms',
    'look-up ns',
  ],
  measureRoutes(),
);
printSection(
  'Sessions',
  ['sessions', 'object bytes', 'heap bytes', 'parse us'],
  measureSessions(),
);
printSection(
  'Idempotency keys without kept answers',
  ['keys', 'heap bytes/key'],
  measureIdempotencyWindows(),
);
printSection(
  'Heartbeats with their answers',
  ['heartbeats', 'both ends us', 'one end us'],
  await measureHeartbeats(),
);
