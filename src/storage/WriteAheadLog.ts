/**
 * What every store offers: records are appended and synced in order, or all are rewritten at once.
 * A promise that resolves means that the records survive a loss of power.
 */
export interface WriteAheadLog {
  readonly records: readonly Uint8Array[]
  readonly bytes: number
  append(records: readonly Uint8Array[]): Promise<void>
  rewrite(records: readonly Uint8Array[]): Promise<void>
  close(): Promise<void>
}
