/**
 * Tests what a daemon costs a host before it serves: the memory for the program's text and for the code that is
 * compiled while it starts. Each backend server host of a large fleet pays it.
 */
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';

import test from 'ava';

const DEPLOYMENT = 'deploy/system.toml';
const TARGET_BUILD = 'scripts/build_target.mjs';
const PROGRAM = 'dist/dottereldrift.cjs';
const BEYOND_ASCII = /[^\x00-\x7f]/; // eslint-disable-line no-control-regex
/** Memory that compiling for the first requests may take; with an optimizing compiler for WebAssembly it is 48 MB. */
const MAX_COMPILER_BYTES = 16 * 1024 * 1024;
const REQUESTS = 300;

/** Makes requests with the HTTP client of the daemon and prints the peak of the memory for compiling. */
const CLIENT_SCRIPT = `
const {createServer} = require('node:http');
const v8 = require('node:v8');
const {Pool} = require(${JSON.stringify(createRequire(import.meta.url).resolve('undici'))});
const server = createServer((request, response) => response.end('a'));
server.listen(0, '127.0.0.1', async () => {
  const pool = new Pool('http://127.0.0.1:' + server.address().port);
  for (let sent = 0; sent < ${REQUESTS}; sent++)
    await (await pool.request({method: 'GET', path: '/'})).body.text();
  // Optimized code is compiled in the background.
  setTimeout(() => {
    console.log(v8.getHeapStatistics().peak_malloced_memory);
    process.exit();
  }, 500);
});
`;

function readNodeFlags(): readonly string[] {
  const run = /^run = "node (.*) target\//m.exec(
    readFileSync(DEPLOYMENT, 'utf8'),
  );
  return (run?.[1] ?? '').split(' ');
}

test('compiling for the first requests takes little memory with the flags of the deployment', t => {
  const flags = [...readNodeFlags(), '--eval', CLIENT_SCRIPT];
  const output = execFileSync(process.execPath, flags, {encoding: 'utf8'});
  const peakBytes = Number(output);
  t.true(peakBytes > 0 && peakBytes < MAX_COMPILER_BYTES, output);
});

test('the code cache is built with the flags of the deployment, without which Node.js rejects it', t => {
  const build = readFileSync(TARGET_BUILD, 'utf8');
  const list = /NODE_FLAGS = \[([^\]]*)\]/.exec(build)?.[1] ?? '';
  const flags = [...list.matchAll(/'([^']+)'/g)].map(match => match[1]);
  t.deepEqual(flags, [...readNodeFlags()]);
});

test('the bundled program is ASCII, so that its text is held at one byte a character', t => {
  t.false(BEYOND_ASCII.test(readFileSync(PROGRAM, 'utf8')));
});
