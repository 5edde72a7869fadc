/**
 * Formats the metrics of the overload model as a table, as CSV and as a comparison of two runs.
 */
import type {OverloadRow} from './overload_experiments.js';

interface Column {
  readonly title: string;
  readonly format: (row: OverloadRow) => string;
}

const COLUMNS: readonly Column[] = [
  {title: 'experiment', format: row => row.experiment},
  {title: 'policy', format: row => row.policy},
  {title: 'slots', format: row => String(row.slots)},
  {title: 'goodput', format: row => row.goodput.toFixed(3)},
  {title: 'short served', format: row => row.shortServed.toFixed(3)},
  {title: 'short p50 ms', format: row => row.shortP50Ms.toFixed(1)},
  {title: 'short p99 ms', format: row => row.shortP99Ms.toFixed(1)},
  {title: 'refused', format: row => row.refused.toFixed(3)},
  {title: 'late', format: row => row.late.toFixed(3)},
  {title: 'others served', format: row => row.otherCallersServed.toFixed(3)},
  {title: 'recovery ms', format: row => String(row.recoveryMs)},
];

/** The rows of two runs for the same experiment, policy and slots. */
export interface RowPair {
  readonly before: OverloadRow;
  readonly after: OverloadRow;
}

/** Formats rows as a plain-text table. */
export function formatRows(rows: readonly OverloadRow[]): string {
  return formatColumns([
    COLUMNS.map(column => column.title),
    ...rows.map(row => COLUMNS.map(column => column.format(row))),
  ]);
}

/** Formats rows as comma-separated values. */
export function formatCsv(rows: readonly OverloadRow[]): string {
  const lines = rows.map(row =>
    COLUMNS.map(column => column.format(row)).join(','),
  );
  return [COLUMNS.map(column => column.title).join(','), ...lines].join('\n');
}

/** Pairs the rows of two runs that have the same experiment, policy and slots. */
export function matchRows(
  before: readonly OverloadRow[],
  after: readonly OverloadRow[],
): readonly RowPair[] {
  const afterByName = new Map(after.map(row => [formatRowName(row), row]));
  return before.flatMap(row => {
    const other = afterByName.get(formatRowName(row));
    return other === undefined ? [] : [{before: row, after: other}];
  });
}

/** Formats the main metrics of two runs side by side. */
export function formatComparison(pairs: readonly RowPair[]): string {
  const titles = [
    'experiment, policy, slots',
    'goodput',
    'short p99 ms',
    'refused',
    'recovery ms',
  ];
  const rows = pairs.map(({before, after}) => [
    formatRowName(before),
    `${before.goodput.toFixed(3)} -> ${after.goodput.toFixed(3)}`,
    `${before.shortP99Ms.toFixed(1)} -> ${after.shortP99Ms.toFixed(1)}`,
    `${before.refused.toFixed(3)} -> ${after.refused.toFixed(3)}`,
    `${before.recoveryMs} -> ${after.recoveryMs}`,
  ]);
  return formatColumns([titles, ...rows]);
}

/** Formats the experiment, policy and slots that identify a row. */
export function formatRowName(row: OverloadRow): string {
  return `${row.experiment}, ${row.policy}, ${row.slots}`;
}

function formatColumns(rows: ReadonlyArray<readonly string[]>): string {
  const widths = (rows[0] ?? []).map((_, index) =>
    Math.max(...rows.map(row => (row[index] ?? '').length)),
  );
  return rows
    .map(row =>
      row
        .map((cell, index) => cell.padEnd(widths[index] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
