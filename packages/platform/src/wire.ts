/**
 * Schemas of the platform's messages, with the field names used on the wire. These names are not used
 * outside this package.
 */
import * as z from 'zod';

const MAX_PORT = 65_535;
const MAX_KEY = 65_535;
const MAX_NAME_LENGTH = 200;

const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
const keySchema = z.number().int().min(0).max(MAX_KEY);
const fenceSchema = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

/** Parses an address of the form `ip:port` into an IP number and a port. */
export const addressSchema = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'allowed is IP:PORT')
  .transform(text => {
    const [ip = '', port = ''] = text.split(':');
    return {ip, port: Number(port)};
  })
  .refine(({port}) => port >= 1 && port <= MAX_PORT, {
    message: `allowed are ports from 1 to ${MAX_PORT}`,
  });

/** Settings that a process is started with. Fields that are not used here are omitted. */
export const settingsSchema = z.object({
  node: nameSchema,
  ip: z.string(),
  /** Data centre. */
  zone: nameSchema,
  region: nameSchema,
  listen: z.object({
    /** Address for other daemons. */
    inbound: addressSchema.optional(),
    /** Address for the requests of callers on this host. */
    outbound: addressSchema,
    ready: addressSchema,
    /** Address for the heartbeats of the backend server on this host. */
    control: addressSchema,
  }),
  port_range: z.tuple([z.number().int(), z.number().int()]),
  limits: z.object({
    memory_mb: z.number().positive(),
    /** Bandwidth of the host's link in megabits per second. */
    link_mbps: z.number().positive().optional(),
  }),
  bounds: z.object({
    /** Time after an acknowledged departure from which the server gets no more requests. */
    drain_ms: z.number().positive(),
    /** Time from the stop signal to the end of the process, in seconds. */
    grace_s: z.number().positive(),
    /** Maximum duration of a grant. */
    hold_max_ms: z.number().positive(),
    /** Fraction of the requests of the whole fleet that may be retried on another server. */
    budget_ratio: z.number().min(0),
    budget_window_s: z.number().positive(),
    /** Retries allowed in one window in addition to that fraction, for the whole fleet. */
    budget_slack: z.number().min(0),
  }),
  /** Address of the backend server on this host. */
  app_addr: addressSchema,
  /** Service of the backend server on this host. */
  service: nameSchema,
  platform: z.object({address: addressSchema}),
});

/** Decoded settings of a process. */
export type WireSettings = z.infer<typeof settingsSchema>;

/** Heartbeat of a backend server. `state` is the state of the server, not of the call. */
export const heartbeatSchema = z.object({
  service: nameSchema,
  address: addressSchema,
  slots: z.number().int().min(1).max(100_000),
  state: z.enum(['ready', 'draining']),
  cold_left_ms: z.number().min(0).optional(),
  seq: z.number().int().min(0),
  /** When the server started, in milliseconds since the Unix epoch. */
  born: z.number().int().min(0).optional(),
  /** Key ranges held, as rows of first key, last key and fencing token. */
  holds: z.array(z.tuple([keySchema, keySchema, fenceSchema])).optional(),
  /** Key ranges released, as rows of first key, last key and the handover data for the next owner. */
  freed: z.array(z.tuple([keySchema, keySchema, z.string()])).optional(),
});

/** Kind of the configuration object. */
export const CONFIGURATION_KIND = 'config';
/** Name of the configuration object. */
export const CONFIGURATION_NAME = 'main';

const partSchema = z.object({service: nameSchema, weight: z.number().min(0)});

const routeSchema = z.object({
  host: nameSchema,
  path_prefix: z.string().startsWith('/'),
  kind: z.string(),
  timeout_ms: z.number().positive(),
  goal_ms: z.number().positive().optional(),
  /** Priority of the requests; 0 is the highest. */
  priority: z.number().optional(),
  /** Maximum number of servers that one request is sent to. */
  attempts: z.number().int().min(1).optional(),
  service: nameSchema.optional(),
  split: z.array(partSchema).optional(),
});

const serviceSchema = z.object({
  /** Maximum number of connections to one server. */
  max_conns: z.number().int().min(1).optional(),
  /** Whether requests are routed to servers by key. */
  sharded: z.boolean().optional(),
});

const limitsSchema = z.object({
  max_header_bytes: z.number().int().min(1),
  max_body_bytes: z.number().int().min(1),
  header_timeout_ms: z.number().int().min(1),
  idle_timeout_ms: z.number().int().min(1),
});

const metadataSchema = z.object({name: nameSchema.optional()});

/** One entry of the configuration, discriminated by its type. */
export const resourceSchema = z.discriminatedUnion('res_type', [
  z.object({
    res_type: z.literal('routes'),
    metadata: z.object({name: nameSchema}),
    spec: routeSchema,
  }),
  z.object({
    res_type: z.literal('services'),
    metadata: z.object({name: nameSchema}),
    spec: serviceSchema,
  }),
  z.object({
    res_type: z.literal('limits'),
    metadata: metadataSchema.optional(),
    spec: limitsSchema,
  }),
]);

/** The configuration. Its entries are validated one by one. */
export const configurationSchema = z.object({
  /** Hexadecimal number, usually of eight digits. */
  version: z.string().regex(/^[0-9a-f]{1,12}$/i),
  resources: z.array(z.unknown()),
});

/** Decoded route of the configuration. */
export type WireRoute = z.infer<typeof routeSchema>;
/** Decoded service of the configuration. */
export type WireService = z.infer<typeof serviceSchema>;
/** Decoded limits for callers in the configuration. */
export type WireLimits = z.infer<typeof limitsSchema>;

/** Object in the store. */
export const objectSchema = z.object({
  metadata: z.object({
    name: z.string(),
    /** Revision of the object's last change. */
    rev: z.number().int(),
    deleting: z.boolean().optional(),
  }),
  spec: z.unknown(),
});

/** One page of the objects of a kind. */
export const listSchema = z.object({
  items: z.array(objectSchema),
  has_more: z.boolean().optional(),
  store_revision: z.number().int(),
});

/** Changes to the objects of a kind. */
export const watchSchema = z.object({
  events: z.array(
    z.object({object: objectSchema, removed: z.boolean().optional()}),
  ),
  store_revision: z.number().int(),
});

/** Decoded object of the store. */
export type WireObject = z.infer<typeof objectSchema>;

/** Content of an object written by a daemon. */
export const valueSchema = z.object({
  /** Bytes in base64. */
  value: z.string(),
  /** Era of the store in which the object was written. */
  era: z.number().int().min(0).optional(),
  /** Revision that it replaced; 0 if it was created. */
  base: z.number().int().min(0).optional(),
});
