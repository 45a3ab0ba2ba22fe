/**
 * The names of the rows under a prefix among rows that changed, each once.
 */
import type { Row } from './Row.js'

export function namesUnder(rows: readonly Row[], prefix: string): string[] {
  return [...new Set(rows.flatMap((row) => (row.key.startsWith(prefix) ? [row.key.slice(prefix.length)] : [])))]
}
