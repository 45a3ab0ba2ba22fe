/**
 * What the platform is asked: `GET /servers`, answered with the servers it runs, where they are and
 * which of them drain.
 */
import { z } from 'zod'
import { PlatformServer } from '../common/PlatformServer.js'

const List = z.object({ servers: z.array(PlatformServer) })

export const PlatformFormat = {
  path: '/servers',

  read(body: string): PlatformServer[] | undefined {
    try {
      const read = List.safeParse(JSON.parse(body))
      return read.success ? read.data.servers : undefined
    } catch {
      return undefined
    }
  },
}
