/**
 * How the run's own callers mark their requests: the request's id stands in a header of its own and in the body. A request
 * that reaches a server under another id, without its headers or with another one's body still shows whose it was, and only
 * a request that bears no mark at all can be a visitor's.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { z } from 'zod'

const header = 'asked-as'
const Marked = z.looseObject({ askedAs: z.string() })

export const requestMark = {
  header,

  body(id: string, fields: object): string {
    return JSON.stringify({ ...fields, askedAs: id })
  },

  /** The marks in a request's head and body, none when it was not marked. */
  read(headers: IncomingHttpHeaders, body: Buffer): string[] {
    const head = headers[header]
    const marks = typeof head === 'string' ? [head] : []
    try {
      const read = Marked.safeParse(JSON.parse(body.toString()))
      if (read.success) marks.push(read.data.askedAs)
    } catch {
      // Not JSON: it bears no mark.
    }
    return marks
  },
}
