/**
 * Starts the bundled program with the V8 code cache that the build stored next to it. Compilation takes most
 * of the start-up time, and a daemon has to restart under full traffic. A cache that does not match this
 * version of Node.js or its flags is ignored, which only makes the start slower.
 */
'use strict';

const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const {createRequire, wrap} = require('node:module');
const {join} = require('node:path');
const {Script} = require('node:vm');

const PROGRAM = join(__dirname, 'program.cjs');
const CODE_CACHE = join(__dirname, 'program.code');
/** Time for the program to load before the code cache is written. */
const LOAD_WAIT_MS = 500;

const isWritingCache = process.env.KEEP_CODE === '1';
const cachedData =
  !isWritingCache && existsSync(CODE_CACHE)
    ? readFileSync(CODE_CACHE)
    : undefined;
const script = new Script(wrap(readFileSync(PROGRAM, 'utf8')), {
  filename: PROGRAM,
  cachedData,
});
const programModule = {exports: {}};
const runProgram = script.runInThisContext();
runProgram.call(
  programModule.exports,
  programModule.exports,
  createRequire(PROGRAM),
  programModule,
  PROGRAM,
  __dirname,
);
if (isWritingCache) {
  setTimeout(() => {
    writeFileSync(CODE_CACHE, script.createCachedData());
  }, LOAD_WAIT_MS);
}
