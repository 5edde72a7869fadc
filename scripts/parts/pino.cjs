/** Replaces pino, the logger of the HTTP framework, which the program does not use. */
'use strict';

function pino() {
  throw new Error('pino is not bundled; the program uses its own log.');
}

module.exports = Object.assign(pino, {pino, symbols: {}, stdSerializers: {}});
