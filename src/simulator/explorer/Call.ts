/**
 * One call of a client in a recorded history, with the times of its beginning and its answer. Without an
 * answer its outcome is unknown.
 */
export interface Call {
  kind: 'read' | 'write'
  /** What is written; a repeated attempt bears the name of the first. */
  operation: string
  revision: number
  /** The revision that must stand for the write to take effect; -1 for any. */
  ifMatch: number
  fromMs: number
  toMs: number
  answer: { status: number; revision: number; writer: string } | undefined
}
