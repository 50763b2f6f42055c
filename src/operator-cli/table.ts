const columnGap = '  '

/** Formats rows as text columns under a heading; numbers are aligned to the right. */
export function formatTable (heading: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number | boolean>>): string {
  const cells = rows.map(row => row.map(String))
  const widths = heading.map((title, column) => Math.max(title.length, ...cells.map(row => row[column]?.length ?? 0)))
  const isNumeric = heading.map((_, column) => rows.length > 0 && rows.every(row => typeof row[column] === 'number'))
  const formatRow = (row: readonly string[]) => row
    .map((cell, column) => isNumeric[column] === true ? cell.padStart(widths[column] ?? 0) : cell.padEnd(widths[column] ?? 0))
    .join(columnGap)
    .trimEnd()
  return [heading, ...cells].map(formatRow).join('\n')
}
