/**
 * Defines the manifest schema: fields, defaults and limits.
 */
import * as z from 'zod';

const MAX_DEADLINE_MS = 600_000;
const MAX_PRIORITY = 9;
const MAX_ATTEMPTS = 10;
const MAX_SLICES_PER_SERVER = 1_024;
const MAX_QUEUED = 100_000;
const MAX_SERVICES = 200;
const MAX_KINDS = 64;
const MAX_ROUTES = 20_000;
const MAX_WEIGHT = 1_000_000;
const MAX_HOST_LENGTH = 253;

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;

const nameSchema = z
  .string()
  .regex(NAME_PATTERN, 'allowed are a-z, 0-9 and -, starting with a letter');

const matchSchema = z.strictObject({
  methods: z
    .array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']))
    .min(1)
    .optional(),
  pathPrefix: z.string().startsWith('/').max(1_024).optional(),
});

const kindSchema = z.strictObject({
  name: nameSchema,
  match: matchSchema.default({}),
  idempotent: z.boolean(),
  deadlineMs: z.number().int().min(1).max(MAX_DEADLINE_MS),
  maxAttempts: z.number().int().min(1).max(MAX_ATTEMPTS).default(3),
  priority: z.number().int().min(0).max(MAX_PRIORITY).default(5),
  expectedServiceMs: z.number().min(0.1).max(MAX_DEADLINE_MS).default(10),
  objective: z.number().min(0.5).max(0.99999).default(0.99),
});

const serviceSchema = z
  .strictObject({
    division: z.enum(['byKey', 'byRange', 'none']),
    fencing: z.enum(['checked', 'none']).default('checked'),
    maxRunMs: z.number().int().min(1).max(MAX_DEADLINE_MS).default(30_000),
    slicesPerServer: z
      .number()
      .int()
      .min(1)
      .max(MAX_SLICES_PER_SERVER)
      .default(64),
    maxQueued: z.number().int().min(1).max(MAX_QUEUED).default(256),
    maxConnections: z.number().int().min(1).max(MAX_QUEUED).optional(),
    kinds: z.array(kindSchema).min(1).max(MAX_KINDS),
  })
  .superRefine((service, context) => {
    const seen = new Set<string>();
    service.kinds.forEach((kind, index) => {
      if (seen.has(kind.name)) {
        const message = `the name "${kind.name}" is used twice, allowed is once`;
        context.addIssue({
          code: 'custom',
          path: ['kinds', index, 'name'],
          message,
        });
      }
      seen.add(kind.name);
    });
  });

const routePartSchema = z.strictObject({
  service: nameSchema,
  weight: z.number().min(0).max(MAX_WEIGHT),
});

const routeSchema = z.strictObject({
  name: nameSchema,
  host: z.string().min(1).max(MAX_HOST_LENGTH),
  pathPrefix: z.string().startsWith('/').endsWith('/').max(1_024),
  kind: kindSchema,
  goalMs: z.number().int().min(1).max(MAX_DEADLINE_MS),
  parts: z
    .array(routePartSchema)
    .min(1)
    .refine(parts => parts.some(part => part.weight > 0), {
      message: 'one weight at least must be above 0',
    }),
});

const callerLimitsSchema = z.strictObject({
  headerBytes: z.number().int().min(1),
  bodyBytes: z.number().int().min(1),
  headerTimeoutMs: z.number().int().min(1).max(MAX_DEADLINE_MS),
  idleTimeoutMs: z.number().int().min(1).max(MAX_DEADLINE_MS),
});

/** Schema of the whole manifest, including references from routes to services. */
export const manifestSchema = z
  .strictObject({
    services: z.record(nameSchema, serviceSchema),
    routes: z.array(routeSchema).max(MAX_ROUTES).optional(),
    callerLimits: callerLimitsSchema.optional(),
  })
  .superRefine(({services, routes = []}, context) => {
    routes.forEach((route, index) => {
      route.parts.forEach(({service}, part) => {
        if (Object.hasOwn(services, service)) return;
        context.addIssue({
          code: 'custom',
          path: ['routes', index, 'parts', part, 'service'],
          message: `the service "${service}" is not listed under services`,
        });
      });
    });
  })
  .refine(manifest => Object.keys(manifest.services).length <= MAX_SERVICES, {
    path: ['services'],
    message: `at most ${MAX_SERVICES} services are allowed`,
  });
