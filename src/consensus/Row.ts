/**
 * One row of the shared table: its value as JSON text, and the stamp (log index) that set it or took
 * it away.
 */
export interface Row {
  key: string
  stamp: number
  gone: boolean
  value: string
}
