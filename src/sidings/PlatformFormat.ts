/**
 * What the platform is asked: `GET /servers`, answered with the servers it runs, where they are and
 * which of them drain.
 */
import { deepStrictEqual, strictEqual } from 'node:assert'
import { z } from 'zod'
import { PlatformServer } from '../gauge/PlatformServer.js'
import { proof } from '../gauge/proof.js'

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

proof(import.meta.url, {
  'a list is read whole or not at all': () => {
    deepStrictEqual(PlatformFormat.read('{"servers":[{"name":"a","address":"127.0.0.1:1","zone":"z"}]}'), [
      { name: 'a', address: '127.0.0.1:1', zone: 'z', draining: false },
    ])
    strictEqual(PlatformFormat.read('{"servers":[{"name":"a","address":"nowhere","zone":"z"}]}'), undefined)
    strictEqual(PlatformFormat.read('<html>'), undefined)
  },
})
