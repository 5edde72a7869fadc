/**
 * Tests over real connections that paced responses reach their callers whole, and that cut ones do not look so.
 */
import {once} from 'node:events';
import http from 'node:http';
import {type AddressInfo, connect} from 'node:net';

import test from 'ava';

import {createNodeSystem} from '@dottereldrift/core/system.js';
import {EgressPacer} from '@dottereldrift/limits/egress_pacer.js';

import {HttpAnswer} from '../src/answer_writer.js';

const LINK_BITS_PER_SECOND = 16_000_000;
const CHUNK_BYTES = 30_000;
const CHUNKS = 10;
/** Time for the first part of a response to be read before it is cut. */
const CUT_DELAY_MS = 50;

/** Serves the same large response to every request through one pacer. */
class PacedServer {
  readonly pacer = new EgressPacer(createNodeSystem(), LINK_BITS_PER_SECOND);
  private readonly server = http.createServer((_request, response) => {
    const answer = new HttpAnswer(response, this.pacer);
    answer.startAnswer(200, {'content-length': String(CHUNKS * CHUNK_BYTES)});
    this.writeChunks(answer, 0);
  });

  async start(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private writeChunks(answer: HttpAnswer, written: number): void {
    for (let index = written; index < CHUNKS; index++) {
      const hasRoom = answer.writeChunk(Buffer.alloc(CHUNK_BYTES, index));
      if (hasRoom) continue;
      answer.waitForDrain(() => {
        this.writeChunks(answer, index + 1);
      });
      return;
    }
    answer.endAnswer({});
  }
}

function readResponse(url: string): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    http.get(url, {agent: false}, response => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.once('end', () => {
        resolve(Buffer.concat(chunks));
      });
      response.once('error', reject);
    });
  });
}

test('paced responses are whole and in order', async t => {
  const server = new PacedServer();
  const url = await server.start();
  const bodies = await Promise.all([readResponse(url), readResponse(url)]);
  const expected = Buffer.concat(
    Array.from({length: CHUNKS}, (_, index) =>
      Buffer.alloc(CHUNK_BYTES, index),
    ),
  );
  for (const body of bodies) t.true(body.equals(expected));
  t.is(server.pacer.getQueuedBytes(), 0);
  server.stop();
});

test('the rest of a paced response is dropped when its caller disconnects', async t => {
  const server = new PacedServer();
  const url = await server.start();
  await new Promise<void>(resolve => {
    const request = http.get(url, {agent: false}, response => {
      response.once('data', () => {
        response.destroy();
        resolve();
      });
    });
    request.on('error', () => {});
  });
  while (server.pacer.getQueuedBytes() > 0)
    await new Promise(resolve => setTimeout(resolve, 5));
  t.is((await readResponse(url)).byteLength, CHUNKS * CHUNK_BYTES);
  server.stop();
});

test('a response whose caller has already disconnected queues nothing', async t => {
  const pacer = new EgressPacer(createNodeSystem(), LINK_BITS_PER_SECOND);
  const server = http.createServer();
  const closed = new Promise<http.ServerResponse>(resolve => {
    server.on('request', (_request, response: http.ServerResponse) => {
      response.once('close', () => {
        resolve(response);
      });
      response.writeHead(200);
      response.write('x');
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const request = http.get(
    {port, host: '127.0.0.1', agent: false},
    response => {
      response.destroy();
    },
  );
  request.on('error', () => {});
  const answer = new HttpAnswer(await closed, pacer);
  for (let chunk = 0; chunk < CHUNKS; chunk++)
    answer.writeChunk(Buffer.alloc(CHUNK_BYTES));
  await new Promise(resolve => setTimeout(resolve, 100));
  t.is(pacer.getQueuedBytes(), 0);
  server.close();
  server.closeAllConnections();
});

for (const version of ['1.0', '1.1']) {
  test(`a response that is cut never looks complete to a caller that speaks HTTP/${version}`, async t => {
    const server = http.createServer((_request, response) => {
      const answer = new HttpAnswer(response);
      answer.startAnswer(200, {});
      answer.writeChunk(Buffer.from('half'));
      setTimeout(() => {
        answer.abort();
      }, CUT_DELAY_MS);
    });
    t.teardown(() => server.close());
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    socket.write(`GET / HTTP/${version}\r\nhost: menu\r\n\r\n`);
    let text = '';
    let errorCode: string | undefined;
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      errorCode = error.code;
    });
    await once(socket, 'close').catch(() => {});
    t.true(text.includes('half'));
    const isMarked = /transfer-encoding: chunked/i.test(text);
    t.is(
      isMarked ? 'chunked' : errorCode,
      version === '1.0' ? 'ECONNRESET' : 'chunked',
    );
    t.false(text.endsWith('0\r\n\r\n'));
  });
}
