/**
 * The platform's messages as they are on the wire, and their schemas. Nothing outside this package
 * knows these names.
 */
import {z} from 'zod';

const MAX_PORT = 65_535;
const MAX_KEY = 65_535;
const MAX_NAME_LENGTH = 200;

const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
const keySchema = z.number().int().min(0).max(MAX_KEY);
const fenceSchema = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

/** An address, `ip:port`, as the parts of the product take it. */
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

/** What a process is started with. Fields that are not used here are left out. */
export const settingsSchema = z.object({
  node: nameSchema,
  ip: z.string(),
  /** Data centre. */
  zone: nameSchema,
  region: nameSchema,
  listen: z.object({
    /** Where other daemons reach this one. */
    inbound: addressSchema.optional(),
    /** Where callers on this host send their requests. */
    outbound: addressSchema,
    ready: addressSchema,
    /** Where the server on this host sends its heartbeats. */
    control: addressSchema,
  }),
  port_range: z.tuple([z.number().int(), z.number().int()]),
  limits: z.object({memory_mb: z.number().positive()}),
  bounds: z.object({
    /** Time after an acknowledged leave from which the server gets nothing more. */
    drain_ms: z.number().positive(),
    /** Seconds from the signal to stop to the end of the process. */
    grace_s: z.number().positive(),
    /** Longest time of one grant. */
    hold_max_ms: z.number().positive(),
    /** Part of the requests that may be sent to a second server, for the whole fleet. */
    budget_ratio: z.number().min(0),
    budget_window_s: z.number().positive(),
    /** Second sends in one window beside that part, for the whole fleet. */
    budget_slack: z.number().min(0),
  }),
  /** Address of the backend server on this host. */
  app_addr: addressSchema,
  /** Service of the backend server on this host. */
  service: nameSchema,
  platform: z.object({address: addressSchema}),
});

/** Settings of a process, decoded. */
export type WireSettings = z.infer<typeof settingsSchema>;

/** A server's heartbeat. `state` is that of the server, not of the call. */
export const heartbeatSchema = z.object({
  service: nameSchema,
  address: addressSchema,
  slots: z.number().int().min(1).max(100_000),
  state: z.enum(['ready', 'draining']),
  cold_left_ms: z.number().min(0).optional(),
  seq: z.number().int().min(0),
  /** When the server started, in milliseconds since the Unix epoch. */
  born: z.number().int().min(0).optional(),
  /** Rows of first key, last key and fencing token. */
  holds: z.array(z.tuple([keySchema, keySchema, fenceSchema])).optional(),
  /** Rows of first key, last key and what the next holder needs. */
  freed: z.array(z.tuple([keySchema, keySchema, z.string()])).optional(),
});

/** Kind of the object that holds the configuration. */
export const CONFIGURATION_KIND = 'config';
/** Name of that object. */
export const CONFIGURATION_NAME = 'main';

const partSchema = z.object({service: nameSchema, weight: z.number().min(0)});

const routeSchema = z.object({
  host: nameSchema,
  path_prefix: z.string().startsWith('/'),
  kind: z.string(),
  timeout_ms: z.number().positive(),
  goal_ms: z.number().positive().optional(),
  /** Rank of the requests, 0 for the highest. */
  priority: z.number().optional(),
  /** Most servers that one request may be sent to. */
  attempts: z.number().int().min(1).optional(),
  service: nameSchema.optional(),
  split: z.array(partSchema).optional(),
});

const serviceSchema = z.object({
  /** Connections that one server accepts. */
  max_conns: z.number().int().min(1).optional(),
  /** Whether keys decide which server runs a request. */
  sharded: z.boolean().optional(),
});

const limitsSchema = z.object({
  max_header_bytes: z.number().int().min(1),
  max_body_bytes: z.number().int().min(1),
  header_timeout_ms: z.number().int().min(1),
  idle_timeout_ms: z.number().int().min(1),
});

const metadataSchema = z.object({name: nameSchema.optional()});

/** One entry of the configuration, by what it is. */
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

/** The configuration; its entries are checked one by one. */
export const configurationSchema = z.object({
  /** Eight hexadecimal digits. */
  version: z.string().regex(/^[0-9a-f]{1,12}$/i),
  resources: z.array(z.unknown()),
});

/** Route of the configuration. */
export type WireRoute = z.infer<typeof routeSchema>;
/** Service of the configuration. */
export type WireService = z.infer<typeof serviceSchema>;
/** Bounds of callers in the configuration. */
export type WireLimits = z.infer<typeof limitsSchema>;

/** An object of the store. */
export const objectSchema = z.object({
  metadata: z.object({
    name: z.string(),
    /** Revision of the object's last change. */
    rev: z.number().int(),
    deleting: z.boolean().optional(),
  }),
  spec: z.unknown(),
});

/** Objects of a kind. */
export const listSchema = z.object({
  items: z.array(objectSchema),
  has_more: z.boolean().optional(),
  store_revision: z.number().int(),
});

/** Changes of a kind. */
export const watchSchema = z.object({
  events: z.array(
    z.object({object: objectSchema, removed: z.boolean().optional()}),
  ),
  store_revision: z.number().int(),
});

/** Object of the store, decoded. */
export type WireObject = z.infer<typeof objectSchema>;

/** What the product keeps in an object: bytes, as base64. */
export const valueSchema = z.object({value: z.string()});
