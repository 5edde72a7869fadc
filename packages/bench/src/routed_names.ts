/**
 * Port, host and header with which benchmarks call daemons that select services by host and path.
 */

/** Port on which a daemon listens for requests that are routed by host and path. */
export const ROUTED_PORT = 7105;
/** Value of the Host header of routed requests. */
export const ROUTED_HOST = 'shop.example';
/** Header that carries the key of a request. */
export const KEY_HEADER = 'request-key';
