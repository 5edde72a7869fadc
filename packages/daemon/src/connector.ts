/**
 * Opens connections on which a reset is an error, whatever has come before it. The HTTP library takes an
 * answer without a length for whole when its connection is reset; a server that crashed in the middle
 * of such an answer would then seem to have finished it.
 */
import {buildConnector} from 'undici';

const RESET = 'ECONNRESET';
/** Code that the library gives no such meaning. */
const BROKEN = 'EPIPE';

/** Returns a connector with a time limit in milliseconds. */
export function createConnector(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({timeout: timeoutMs});
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      // This listener is added before the library's own, so it sees an error first.
      socket?.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code === RESET) error.code = BROKEN;
      });
      callback(...result);
    });
  };
}
