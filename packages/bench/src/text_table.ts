/**
 * Formats plain-text tables.
 */

/** Formats rows in aligned columns; cells that begin with a digit or a point are right-aligned. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const columns = Math.max(...rows.map(row => row.length));
  const widths = Array.from({length: columns}, (_, column) =>
    Math.max(...rows.map(row => (row[column] ?? '').length)),
  );
  return rows
    .map(row =>
      row
        .map((cell, column) => formatCell(cell, widths[column] ?? 0))
        .join('  '),
    )
    .join('\n');
}

function formatCell(cell: string, width: number): string {
  return /^[\d.]/.test(cell) ? cell.padStart(width) : cell.padEnd(width);
}
