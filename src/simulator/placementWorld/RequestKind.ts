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
  /** Its clients leave after so long without a byte. */
  silenceMs: number
  attempts: number
  resumable: boolean
  /** 0 is the most urgent. */
  urgency: number
  /** What a request in time is worth, and one that is served late. */
  worth: number
  lateWorth: number
  /** Tokens of its prompt, and those of them that it shares with the other requests of its chain. */
  promptTokens: number
  sharedTokens: number
  /** How many chains of shared prompt parts its requests are drawn from. */
  chains: number
  runMs: number
}
