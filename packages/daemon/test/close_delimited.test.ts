/**
 * Tests of responses without a length that end while a request is being sent. Such a response is complete only
 * if its connection ended in an orderly way. The server runs in a thread of its own.
 */
import test from 'ava';

import {REQUEST_REST_TIMEOUT_MS} from '../src/connector.js';
import {
  CloseDelimitedServer,
  type Ending,
  startBusyLoop,
  type UploadOptions,
} from './close_delimited.js';

const KILOBYTE = 1_000;
const MEGABYTE = 1_000 * KILOBYTE;
const UPLOAD_BYTES = 16 * MEGABYTE;
const PIECES_BYTES = [200 * KILOBYTE, 2 * MEGABYTE, 8 * MEGABYTE];
const TRIALS = 40;
const FEW_TRIALS = 2;
/** Time between the pieces of a slow upload; one of them arrives after each ending. */
const SLOW_PAUSE_MS = 100;
const SLOW_PIECES = 5;

function createUpload(ending: Ending, pieceBytes: number): UploadOptions {
  return {ending, pieceBytes, pieces: UPLOAD_BYTES / pieceBytes};
}

function createSlowUpload(ending: Ending): UploadOptions {
  return {
    ending,
    pieceBytes: KILOBYTE,
    pieces: SLOW_PIECES,
    pauseMs: SLOW_PAUSE_MS,
  };
}

/** Sends uploads while the event loop is busy and idle, and returns the sorted results that occurred. */
async function listResults(
  uploads: readonly UploadOptions[],
  count: number,
): Promise<readonly string[]> {
  const server = await CloseDelimitedServer.start();
  const results = new Set<string>();
  const run = async () => {
    for (const upload of uploads) {
      const counts = await server.sendMany(upload, count, 1);
      for (const result of Object.keys(counts)) results.add(result);
    }
  };
  try {
    const stopBusyLoop = startBusyLoop();
    await run().finally(stopBusyLoop);
    await run();
  } finally {
    await server.stop();
  }
  return [...results].sort();
}

test.serial(
  'a reset while an upload is being written never passes for the end of a response',
  async t => {
    const uploads = PIECES_BYTES.map(bytes => createUpload('reset', bytes));
    const results = await listResults(uploads, TRIALS);
    t.deepEqual(
      results.filter(result => result.startsWith('whole')),
      [],
    );
  },
);

for (const ending of ['reset-later', 'reset-unread', 'close-unread'] as const) {
  test.serial(
    `a response whose connection is reset while an upload waits is cut: ${ending}`,
    async t => {
      const uploads = PIECES_BYTES.map(bytes => createUpload(ending, bytes));
      t.deepEqual(await listResults(uploads, FEW_TRIALS), ['cut: half']);
    },
  );
}

for (const ending of [
  'end-after-upload',
  'answer-early',
  'end-early',
] as const) {
  test.serial(
    `a response that ends in an orderly way is complete if its server reads the upload: ${ending}`,
    async t => {
      const uploads = PIECES_BYTES.map(bytes => createUpload(ending, bytes));
      uploads.push(createSlowUpload(ending));
      t.deepEqual(await listResults(uploads, FEW_TRIALS), ['whole: whole']);
    },
  );
}

test.serial(
  'a response that ends before a slow upload does is cut if its connection is then reset',
  async t => {
    const results = await listResults(
      [createSlowUpload('end-then-reset')],
      FEW_TRIALS,
    );
    t.deepEqual(results, ['cut: half']);
  },
);

test.serial(
  'a response that ends while its server reads no more of an upload is cut after a time limit',
  async t => {
    const server = await CloseDelimitedServer.start();
    t.teardown(() => server.stop());
    const startMs = performance.now();
    const upload = createUpload('end-unread', 8 * MEGABYTE);
    t.is(await server.send(upload), 'cut: whole');
    const elapsedMs = performance.now() - startMs;
    t.true(elapsedMs > REQUEST_REST_TIMEOUT_MS / 2, `${elapsedMs} ms`);
  },
);
