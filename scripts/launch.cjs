/**
 * Starts the bundled program with the compiled code that the build has kept beside it. Compiling takes
 * most of a start, and a daemon starts again under full traffic. Code that does not fit this version of
 * Node.js or its flags is left out, which only makes the start slower.
 */
'use strict';

const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const {createRequire, wrap} = require('node:module');
const {join} = require('node:path');
const {Script} = require('node:vm');

const PROGRAM = join(__dirname, 'program.cjs');
const CODE = join(__dirname, 'program.code');
/** Time for the program to load before its code is kept, in milliseconds. */
const LOAD_MS = 500;

const isKeeping = process.env.KEEP_CODE === '1';
const cachedData =
  !isKeeping && existsSync(CODE) ? readFileSync(CODE) : undefined;
const script = new Script(wrap(readFileSync(PROGRAM, 'utf8')), {
  filename: PROGRAM,
  cachedData,
});
const own = {exports: {}};
const run = script.runInThisContext();
run.call(
  own.exports,
  own.exports,
  createRequire(PROGRAM),
  own,
  PROGRAM,
  __dirname,
);
if (isKeeping) {
  setTimeout(() => {
    writeFileSync(CODE, script.createCachedData());
  }, LOAD_MS);
}
