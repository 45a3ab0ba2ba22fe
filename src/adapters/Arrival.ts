/** What the head of a caller's request says. `promptTokens` is the prompt's length. */
export interface Arrival {
  id: string
  dueInMs: number | undefined
  /** The last event of a stream that the caller has seen. */
  resumeAfter: string | undefined
  model: string
  adapter: string
  promptTokens: number
  parts: { id: string; tokens: number }[]
}
