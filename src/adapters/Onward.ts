/** What a server is told beside what the caller sent. */
export interface Onward {
  leftMs: number
  server: string
  urgency: number
  resumeAfter: string | undefined
  model: boolean
}
