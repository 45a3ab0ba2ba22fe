/**
 * A configuration that the operator sent, and what came of it.
 */
export interface SoakChange {
  revision: number
  text: string
  sentMs: number
  /** When the operator knew that it was taken; nothing while it does not. */
  acknowledgedMs: number | undefined
  /** An answer that was lost on its way had said so. */
  taken: boolean
  /** A final no, with its status. */
  refused: number | undefined
}
