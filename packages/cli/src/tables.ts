/**
 * Formats responses of a daemon as plain-text tables.
 */
import type {KindReport} from '@dottereldrift/daemon/burn_report.js';
import type {SurveyRow} from '@dottereldrift/daemon/configuration_survey.js';
import type {DaemonStatus} from '@dottereldrift/daemon/status.js';

const MS_PER_SECOND = 1_000;
const MS_PER_MINUTE = 60_000;

/** Formats rows as a table in which the cells of each column are padded to the same width. */
export function formatTable(rows: ReadonlyArray<readonly string[]>): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map(row => (row[column] ?? '').length)),
  );
  return rows
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Formats the status of a daemon and a table of its services. */
export function formatStatus(value: unknown): string {
  const status = value as DaemonStatus;
  const summary = [
    ['member', status.member],
    ['ready', String(status.isReady)],
    [
      'lease',
      status.isLeaseHeld
        ? `held, ${status.leaseRemainingMs} ms left`
        : 'not held',
    ],
    ['witnesses', status.witnesses.join(', ')],
    ['manifest', `generation ${status.manifestGeneration}`],
    [
      'configuration',
      status.isConfigurationFresh ? 'fresh' : 'may be out of date',
    ],
    ['live hosts', String(status.liveHosts)],
  ];
  const services = status.services.map(service => [
    service.service,
    String(service.generation),
    String(service.ownedSlices),
    String(service.slots),
    String(service.running),
    String(service.queued),
    service.isLeaving ? 'leaving' : 'active',
  ]);
  const header = [
    'service',
    'generation',
    'slices',
    'slots',
    'running',
    'queued',
    'state',
  ];
  return `${formatTable(summary)}\n\n${formatTable([header, ...services])}`;
}

/**
 * Formats the configurations that the daemons have in force: first how many daemons have which, then the daemons
 * with the oldest configuration first, and those that did not answer before all.
 */
export function formatConfigurations(value: unknown): string {
  const rows = [...(value as readonly SurveyRow[])].sort(
    (a, b) => (a.state?.generation ?? -1) - (b.state?.generation ?? -1),
  );
  const counts = new Map<string, number>();
  for (const {state} of rows) {
    const name =
      state === undefined
        ? 'without an answer'
        : `with generation ${state.generation}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  const summary = [...counts].map(([name, count]) => `${count} ${name}`);
  const header = [
    'host',
    'data centre',
    'generation',
    'in force for',
    'since the store answered',
  ];
  const cells = rows.map(({host, dataCentre, state, reason}) =>
    state === undefined
      ? [host, dataCentre, 'no answer', reason]
      : [
          host,
          dataCentre,
          String(state.generation),
          formatSeconds(state.inForceMs),
          formatSeconds(state.storeSilenceMs),
        ],
  );
  const isAgreed =
    counts.size === 1 && rows.every(({state}) => state !== undefined);
  const agreement = isAgreed ? 'All daemons agree' : 'The daemons do not agree';
  const head = `${agreement}: ${summary.join(', ')}.`;
  return `${head}\n\n${formatTable([header, ...cells])}`;
}

/** Formats a duration; JSON has null in place of an infinite one. */
function formatSeconds(durationMs: number | null): string {
  return durationMs === null || !Number.isFinite(durationMs)
    ? 'unknown'
    : `${(durationMs / MS_PER_SECOND).toFixed(1)} s`;
}

/** Formats the report on error budget burn, one row for each request kind and window. */
export function formatReport(value: unknown): string {
  const reports = value as readonly KindReport[];
  const header = [
    'service',
    'kind',
    'objective',
    'window',
    'good',
    'bad',
    'burn',
    'level',
  ];
  const rows = reports.flatMap(report =>
    report.windows.map(window => [
      report.service,
      report.kind,
      `${(report.objective * 100).toFixed(3)}%`,
      `${window.windowMs / MS_PER_MINUTE} min`,
      String(window.good),
      String(window.bad),
      window.burn.toFixed(2),
      report.level,
    ]),
  );
  return formatTable([header, ...rows]);
}
