/**
 * A kind of requests: its rate, the models that it draws from, and what a client expects of an answer.
 */
export interface RequestKind {
  name: string
  perS: number
  models: readonly string[]
  activeAtOnce: number
  /** Weight of the model at place n among the active ones is 1 / (n + 1) ** skew. */
  skew: number
  adapterShare: number
  adapters: readonly string[]
  aimMs: number
  dueMs: number
  attempts: number
  resumable: boolean
  runMs: number
}
