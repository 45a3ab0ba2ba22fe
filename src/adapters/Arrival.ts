/** What the head of a caller's request says. Tokens are those of the prompt and the most that may be put out. */
export interface Arrival {
  id: string
  dueInMs: number | undefined
  /** The last event of a stream that the caller has seen. */
  resumeAfter: string | undefined
  model: string
  adapter: string
  promptTokens: number
  outputTokens: number
  parts: { id: string; tokens: number }[]
}
