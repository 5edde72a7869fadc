/**
 * Names by which the measurements reach the daemons that serve callers by host and path.
 */

/** Port at which a daemon listens for callers whose requests are selected by host and path. */
export const ROUTED_PORT = 7105;
/** Host that these callers address. */
export const ROUTED_HOST = 'shop.example';
/** Header that names the key of a request. */
export const KEY_HEADER = 'request-key';
