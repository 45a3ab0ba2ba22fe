/** One request of a scheduled caller, and what its caller got. */
export interface Call {
  id: string
  route: 'once' | 'often' | 'stream' | 'single'
  body: string
  dueMs: number
  sentMs: number
  /** When its answer was whole or its connection closed. */
  endMs: number
  /** The answer in its place on the connection. */
  status: number
  headers: ReadonlyMap<string, string>
  answer: string
  whole: boolean
  left: boolean
}
