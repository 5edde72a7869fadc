/**
 * Tests of the outcome of a request whose connection fails at each point of the exchange. A scripted server
 * fails there; the outcome and the response that the caller received are compared.
 */
import type {Socket} from 'node:net';
import {PassThrough} from 'node:stream';

import test, {type ExecutionContext} from 'ava';
import {Pool} from 'undici';

import {AbandonmentSignal} from '../src/abandonment_signal.js';
import type {AttemptResult, RequestBody} from '../src/exchange.js';
import {type Attempt, sendAttempt} from '../src/http_attempt.js';
import {getHeader} from '../src/headers.js';
import {Upload} from '../src/upload.js';

import {createServerPool} from '../src/server_pool.js';
import {FakeServer, ManualSystem, RecordingSink} from './fakes.js';

const OK = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';
const HEAD_END = '\r\n\r\n';
const DEADLINE_MS = 500;
/** Time for the first part of a response to be read before its connection ends. */
const END_DELAY_MS = 50;
const BODY: RequestBody = {kind: 'buffered', bytes: Buffer.from('abc')};

class AttemptFixture {
  readonly system = new ManualSystem();
  readonly sink = new RecordingSink();
  readonly abandonment = new AbandonmentSignal();
  readonly server: FakeServer;
  private pool: Pool | undefined;

  constructor(script: (socket: Socket, text: string) => void) {
    this.server = new FakeServer(script);
  }

  async start(): Promise<Pool> {
    const url = await this.server.start();
    this.pool = new Pool(url, {connections: 1, headersTimeout: 0});
    return this.pool;
  }

  async stop(): Promise<void> {
    await this.pool?.destroy();
    await this.server.stop();
  }

  send(pool: Pool, change: Partial<Attempt> = {}): Promise<AttemptResult> {
    return sendAttempt(this.system, {...this.createAttempt(pool), ...change});
  }

  createAttempt(pool: Pool): Attempt {
    return {
      dispatcher: pool,
      peerName: 'the peer',
      method: 'POST',
      path: '/run',
      headers: {},
      body: BODY,
      expiresAtMs: this.system.getNow().monotonicMs + DEADLINE_MS,
      deadlineMs: DEADLINE_MS,
      abandonment: this.abandonment,
      answer: this.sink,
      readFailure: (_status, headers) =>
        getHeader(headers, 'dottereldrift-refused') === 'not-run'
          ? {outcome: 'not-run', code: 'DD3010', text: '', retryAfterMs: 0}
          : undefined,
      answerHeaders: {'dottereldrift-outcome': 'completed'},
      maxKeptBytes: 0,
    };
  }
}

function formatResult(result: AttemptResult, sink: RecordingSink): string {
  if (result.kind === 'failed') {
    const {outcome, code} = result.failure;
    return `${outcome} ${code}, answer ${sink.state}`;
  }
  return `answered ${result.status}, answer ${sink.state}: ${sink.body}`;
}

async function expectOutcome(
  t: ExecutionContext,
  script: (socket: Socket, text: string) => void,
  expected: string,
  change: Partial<Attempt> = {},
): Promise<AttemptFixture> {
  const fixture = new AttemptFixture(script);
  const pool = await fixture.start();
  try {
    const result = await fixture.send(pool, change);
    t.is(formatResult(result, fixture.sink), expected);
    t.is(fixture.system.countTimers(), 0);
  } finally {
    await fixture.stop();
  }
  return fixture;
}

function isWholeRequest(text: string): boolean {
  return text.endsWith('abc');
}

/** Returns a script that responds to a complete request with a text and then ends the connection. */
function answerAndEnd(
  text: string,
): (socket: Socket, received: string) => void {
  return (socket, received) => {
    if (isWholeRequest(received)) socket.end(text);
  };
}

/** Creates a connection pool like the pools of daemons to their backend servers. */
function createPoolOn(port: number) {
  return createServerPool({
    service: 'menu',
    address: {ip: '127.0.0.1', port},
    slots: 1,
    connections: 2,
    isLeaving: false,
  });
}

test('a refused connection: not run', async t => {
  const fixture = new AttemptFixture(() => {});
  const pool = await fixture.start();
  await fixture.server.stop();
  const result = await fixture.send(pool);
  t.is(formatResult(result, fixture.sink), 'not-run DD3008, answer none');
  await pool.destroy();
});

test('a connection that is not established by the deadline: not run', async t => {
  const fixture = new AttemptFixture(() => {});
  const pool = new Pool('http://127.0.0.1:9', {connect: () => {}});
  const sent = fixture.send(pool);
  fixture.system.shift(DEADLINE_MS);
  const result = await sent;
  t.is(formatResult(result, fixture.sink), 'not-run DD3006, answer none');
  await pool.destroy();
});

test('a connect timeout: not run', async t => {
  const fixture = new AttemptFixture(() => {});
  const pool = new Pool('http://127.0.0.1:9', {
    connect: (_options, callback) => {
      const error = Object.assign(new Error('timed out'), {
        code: 'UND_ERR_CONNECT_TIMEOUT',
      });
      setImmediate(callback, error, null);
    },
  });
  const result = await fixture.send(pool);
  t.is(formatResult(result, fixture.sink), 'not-run DD3008, answer none');
  await pool.destroy();
});

test('a reset at the first byte: unknown', async t => {
  await expectOutcome(
    t,
    socket => {
      socket.resetAndDestroy();
    },
    'unknown DD3009, answer none',
  );
});

test('a reset between head and body: unknown', async t => {
  const source = new PassThrough();
  source.write('abc');
  const upload = new Upload(source, 1_000);
  await expectOutcome(
    t,
    (socket, text) => {
      if (text.includes(HEAD_END)) socket.resetAndDestroy();
    },
    'unknown DD3009, answer none',
    {body: {kind: 'stream', upload}},
  );
  t.false(source.destroyed);
});

for (const [name, answer] of [
  ['a connection end without a response', ''],
  ['an incomplete response head', 'HTTP/1.1 200 OK\r\ncontent-le'],
  ['a response that is not HTTP', 'garbage\0garbage\r\n\r\n'],
  ['an unsolicited 100 Continue', 'HTTP/1.1 100 Continue\r\n\r\n'],
  [
    'a protocol switch',
    'HTTP/1.1 101 X\r\nupgrade: a\r\nconnection: upgrade\r\n\r\n',
  ],
] as const) {
  test(`${name}: unknown`, async t => {
    const script = answerAndEnd(answer);
    await expectOutcome(t, script, 'unknown DD3009, answer none');
  });
}

test('a response delimited only by the end of the connection: unknown', async t => {
  const script = answerAndEnd('HTTP/1.1 200 OK\r\n\r\nperhaps whole');
  await expectOutcome(t, script, 'unknown DD3028, answer none');
});

for (const [name, end, expected] of [
  ['ends', (socket: Socket) => socket.end(), /answer whole: half$/],
  [
    'is reset',
    (socket: Socket) => socket.resetAndDestroy(),
    /answer cut: half$/,
  ],
  [
    'is reset with its last bytes',
    (socket: Socket) => {
      socket.write('half');
      socket.resetAndDestroy();
    },
    /answer cut: half(half)?$/,
  ],
] as const) {
  test(`a response without a length, where that is allowed, whose connection ${name}`, async t => {
    const answer = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf';
    const fixture = new AttemptFixture((socket, text) => {
      if (!text.includes(HEAD_END)) return;
      socket.write(answer);
      setTimeout(() => end(socket), END_DELAY_MS);
    });
    const {port} = new URL(await fixture.server.start());
    const pool = createPoolOn(Number(port));
    const result = await sendAttempt(fixture.system, {
      ...fixture.createAttempt(pool as Pool),
      mayEndWithConnection: true,
    });
    t.regex(formatResult(result, fixture.sink), expected);
    await pool.destroy();
    await fixture.stop();
  });
}

test('a slow caller receives a complete response that ends its connection', async t => {
  const fixture = new AttemptFixture((socket, text) => {
    if (!text.includes(HEAD_END)) return;
    socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole');
    setTimeout(() => socket.end(), END_DELAY_MS);
  });
  const {port} = new URL(await fixture.server.start());
  const pool = createPoolOn(Number(port));
  fixture.sink.writeChunk = chunk => {
    fixture.sink.body += chunk.toString('latin1');
    return false;
  };
  fixture.sink.waitForDrain = callback => {
    setTimeout(callback, 4 * END_DELAY_MS);
  };
  const result = await sendAttempt(fixture.system, {
    ...fixture.createAttempt(pool as Pool),
    mayEndWithConnection: true,
  });
  t.regex(formatResult(result, fixture.sink), /answer whole: whole$/);
  await pool.destroy();
  await fixture.stop();
});

test('a server that accepts no connection: not run', async t => {
  const fixture = new AttemptFixture(() => {});
  const {port} = new URL(await fixture.server.start());
  await fixture.stop();
  const pool = createPoolOn(Number(port));
  const result = await sendAttempt(
    fixture.system,
    fixture.createAttempt(pool as Pool),
  );
  t.is(formatResult(result, fixture.sink), 'not-run DD3008, answer none');
  await pool.destroy();
});

for (const [name, answer, expected] of [
  [
    'an incomplete chunked body',
    'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n',
    'answered 200, answer cut: hello',
  ],
  [
    'a body shorter than its content length',
    'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello',
    'answered 200, answer cut: hello',
  ],
  ['a complete response', OK, 'answered 200, answer whole: ok'],
  [
    'early hints before the response',
    `HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n${OK}`,
    'answered 200, answer whole: ok',
  ],
  [
    'a response without a body',
    'HTTP/1.1 204 No Content\r\n\r\n',
    'answered 204, answer whole: ',
  ],
  [
    'a 304 response with a content length',
    'HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n',
    'answered 304, answer whole: ',
  ],
  [
    'a refusal before running',
    'HTTP/1.1 503 X\r\ndottereldrift-refused: not-run\r\ncontent-length: 2\r\n\r\nno',
    'not-run DD3010, answer none',
  ],
  [
    'a refusal with an incomplete body',
    'HTTP/1.1 503 X\r\ndottereldrift-refused: not-run\r\ncontent-length: 9\r\n\r\nno',
    'not-run DD3010, answer none',
  ],
] as const) {
  test(`${name} is reported correctly`, async t => {
    await expectOutcome(t, answerAndEnd(answer), expected);
  });
}

for (const status of ['000', '001', '099', '600', '999']) {
  test(`a response with the status ${status} never reaches the caller: unknown`, async t => {
    const answer = `HTTP/1.1 ${status} X\r\ncontent-length: 2\r\n\r\nok`;
    const fixture = new AttemptFixture((socket, text) => {
      // The connection stays open, so that only the status can end the request.
      if (isWholeRequest(text)) socket.write(answer);
    });
    const pool = await fixture.start();
    const result = await fixture.send(pool);
    t.is(formatResult(result, fixture.sink), 'unknown DD3009, answer none');
    if (result.kind === 'failed') t.regex(result.failure.text, /status/);
    await fixture.stop();
  });
}

test('trailers are relayed without internal names', async t => {
  const fixture = await expectOutcome(
    t,
    answerAndEnd(
      'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nchecksum: 7\r\ndottereldrift-outcome: x\r\n\r\n',
    ),
    'answered 200, answer whole: ok',
  );
  t.deepEqual({...fixture.sink.trailers}, {checksum: '7'});
});

test('the response to HEAD has a content length and no body', async t => {
  const fixture = await expectOutcome(
    t,
    socket => {
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 700\r\n\r\n');
    },
    'answered 200, answer whole: ',
    {method: 'HEAD', body: {kind: 'none'}},
  );
  t.is(fixture.sink.headers['content-length'], '700');
});

test('a response that precedes the end of the request body is complete and leaves the source open', async t => {
  const source = new PassThrough();
  source.write('first part');
  const upload = new Upload(source, 1_000);
  await expectOutcome(
    t,
    (socket, text) => {
      if (text.includes('first part')) socket.write(OK);
    },
    'answered 200, answer whole: ok',
    {body: {kind: 'stream', upload}},
  );
  t.false(source.destroyed);
});

test('a body beyond its limit ends the request: unknown', async t => {
  const source = new PassThrough();
  source.write('much too long');
  const upload = new Upload(source, 5);
  await expectOutcome(t, () => {}, 'unknown DD3015, answer none', {
    body: {kind: 'stream', upload},
  });
});

test('a response head that cannot be written to the caller: unknown', async t => {
  const fixture = new AttemptFixture(answerAndEnd(OK));
  fixture.sink.startAnswer = () => {
    throw new Error('invalid header');
  };
  const result = await fixture.send(await fixture.start());
  t.is(formatResult(result, fixture.sink), 'unknown DD3009, answer none');
  await fixture.stop();
});

test('a request is not resent automatically when its idle connection ends as it is sent', async t => {
  let requests = 0;
  const fixture = new AttemptFixture((socket, text) => {
    if (!text.endsWith(HEAD_END)) return;
    requests += 1;
    if (requests === 1) socket.write(OK);
    else socket.destroy();
  });
  const pool = await fixture.start();
  const change = {method: 'GET', body: {kind: 'none'}} as const;
  t.is((await fixture.send(pool, change)).kind, 'answered');
  const second = await fixture.send(pool, change);
  t.is(
    formatResult(second, new RecordingSink()),
    'unknown DD3009, answer none',
  );
  t.is(fixture.server.countRequests(), 2);
  await fixture.stop();
});

test('bytes after a response never reach the next request', async t => {
  const fixture = new AttemptFixture((socket, text) => {
    if (!isWholeRequest(text)) return;
    const isFirst = fixture.server.sockets.length === 1;
    const stray = OK.replace('ok', 'no');
    socket.write(isFirst && !text.includes('abcPOST') ? OK + stray : OK);
  });
  const pool = await fixture.start();
  await fixture.send(pool);
  const sink = new RecordingSink();
  await fixture.send(pool, {answer: sink});
  t.is(sink.body, 'ok');
  await fixture.stop();
});

test('a request whose deadline passes while it waits for a connection is never written', async t => {
  let answerFirst = () => {};
  const fixture = new AttemptFixture((socket, text) => {
    const isFirst = !text.includes('abcPOST');
    if (isWholeRequest(text)) {
      if (isFirst) answerFirst = () => socket.write(OK);
      else socket.write(OK);
    }
  });
  const pool = await fixture.start();
  const laterDeadlineMs =
    fixture.system.getNow().monotonicMs + 10 * DEADLINE_MS;
  const first = fixture.send(pool, {
    expiresAtMs: laterDeadlineMs,
    path: '/first',
  });
  const second = fixture.send(pool, {path: '/second'});
  fixture.system.shift(DEADLINE_MS);
  const sink = new RecordingSink();
  t.is(formatResult(await second, sink), 'not-run DD3006, answer none');
  while (fixture.server.countRequests() === 0)
    await new Promise(resolve => setImmediate(resolve));
  answerFirst();
  t.is((await first).kind, 'answered');
  t.is((await fixture.send(pool, {path: '/third'})).kind, 'answered');
  t.false(fixture.server.received.join('').includes('/second'));
  t.is(fixture.server.sockets.length, 1);
  await fixture.stop();
});

test('the caller disconnects before the request is sent: not run, and nothing is written', async t => {
  const fixture = new AttemptFixture(() => {});
  const pool = await fixture.start();
  fixture.abandonment.recordDisconnect();
  const result = await fixture.send(pool);
  t.is(formatResult(result, fixture.sink), 'not-run DD3022, answer none');
  t.is(fixture.server.countRequests(), 0);
  await fixture.stop();
});

test('the caller disconnects after the request was sent: unknown, and the server sees the connection close', async t => {
  let hasClosed = false;
  const fixture = new AttemptFixture((socket, text) => {
    if (!isWholeRequest(text)) return;
    socket.once('close', () => {
      hasClosed = true;
    });
    fixture.abandonment.recordDisconnect();
  });
  const result = await fixture.send(await fixture.start());
  t.is(formatResult(result, fixture.sink), 'unknown DD3022, answer none');
  while (!hasClosed) await new Promise(resolve => setImmediate(resolve));
  await fixture.stop();
});

test('the caller disconnects during the response: the response is truncated', async t => {
  const fixture = new AttemptFixture((socket, text) => {
    if (isWholeRequest(text))
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart');
  });
  fixture.sink.onChunk = () => {
    fixture.abandonment.recordDisconnect();
  };
  const result = await fixture.send(await fixture.start());
  t.is(formatResult(result, fixture.sink), 'answered 200, answer cut: part');
  await fixture.stop();
});

test('the deadline passes while the server runs the request: unknown', async t => {
  const fixture = new AttemptFixture((_socket, text) => {
    if (isWholeRequest(text)) fixture.system.shift(DEADLINE_MS);
  });
  const result = await fixture.send(await fixture.start());
  t.is(formatResult(result, fixture.sink), 'unknown DD3007, answer none');
  await fixture.stop();
});
