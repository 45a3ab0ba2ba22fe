/**
 * What every server behind the proxies is asked: `GET /springpaddle/identity` on each connection
 * before its first request. The reply names the server, its incarnation and how long it has been up.
 * A server that turns a request away without running it says so with `verdict: NotRun`.
 */
import { z } from 'zod'

const Identity = z.object({ server: z.string(), incarnation: z.string(), upMs: z.number() })

export const ServerFormat = {
  identityPath: '/springpaddle/identity',

  identity(body: string): ServerFormat | undefined {
    try {
      const read = Identity.safeParse(JSON.parse(body))
      return read.success ? read.data : undefined
    } catch {
      return undefined
    }
  },

  modelPath(model: string): string {
    return `/run/${model}`
  },
}
export type ServerFormat = z.infer<typeof Identity>
