/**
 * Sample messages of the platform for tests.
 */

/** A configuration with a split route, a service sharded by key and an entry of an unknown type. */
export const CONFIGURATION = {
  version: '00000007',
  resources: [
    {
      res_type: 'routes',
      metadata: {name: 'r-menu'},
      spec: {
        host: 'shop.example',
        path_prefix: '/menu/',
        kind: 'safe',
        timeout_ms: 800,
        goal_ms: 200,
        priority: 2,
        split: [
          {service: 'menu', weight: 90},
          {service: 'menu2', weight: 10},
        ],
        attempts: 2,
      },
    },
    {
      res_type: 'routes',
      metadata: {name: 'r-pay'},
      spec: {
        host: 'shop.example',
        path_prefix: '/pay/',
        kind: 'unsafe',
        timeout_ms: 1000,
        goal_ms: 250,
        priority: 0,
        service: 'pay',
        attempts: 2,
      },
    },
    {
      res_type: 'services',
      metadata: {name: 'menu'},
      spec: {health_path: '/health', max_conns: 120, sharded: true},
    },
    {
      res_type: 'services',
      metadata: {name: 'pay'},
      spec: {health_path: '/health', max_conns: 120},
    },
    {
      res_type: 'limits',
      metadata: {},
      spec: {
        max_header_bytes: 16384,
        max_body_bytes: 67108864,
        header_timeout_ms: 3000,
        idle_timeout_ms: 15000,
      },
    },
    {res_type: 'later', metadata: {}, spec: {anything: 1}},
  ],
};

/** A heartbeat of a backend server. */
export const HEARTBEAT = {
  service: 'menu',
  address: '10.1.0.8:8301',
  zone: 'z1',
  version: 'v1',
  slots: 6,
  state: 'ready',
  cold_left_ms: 0,
  seq: 4,
  born: 1_700_000_000_000,
  holds: [[0, 4095, 7]],
  freed: [[4096, 8191, '5c0e']],
};

/** Settings file of a process. */
export const SETTINGS = {
  node: 'sidecar-z1-1',
  role: 'router',
  ip: '10.1.0.8',
  zone: 'z1',
  region: 'r1',
  listen: {
    inbound: '10.1.0.8:8300',
    outbound: '10.1.0.8:8304',
    ready: '10.1.0.8:8302',
    control: '10.1.0.8:8306',
  },
  port_range: [7620, 7635],
  limits: {memory_mb: 350, link_mbps: 1000},
  bounds: {
    drain_ms: 2000,
    grace_s: 6,
    hold_max_ms: 10000,
    budget_ratio: 0.2,
    budget_window_s: 10,
    budget_slack: 60,
  },
  app_addr: '10.1.0.8:8301',
  service: 'menu',
  platform: {address: '10.200.1.7:8309'},
};
