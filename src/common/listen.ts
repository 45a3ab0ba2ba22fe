/**
 * Opens an HTTP app on an address and gives the server and the address it got.
 */
import { once } from 'node:events'
import type { Server } from 'node:http'
import type { App } from '@tinyhttp/app'
import { isAddressTaken } from './isAddressTaken.js'
import { StartWait } from './StartWait.js'

export async function listen(app: App, address: string, wait: StartWait = StartWait.none): Promise<{ server: Server; address: string }> {
  const cut = address.lastIndexOf(':')
  const server = await wait.until({
    resource: address,
    attempt: async () => {
      const made = app.listen(Number(address.slice(cut + 1)), undefined, address.slice(0, cut).replace(/^\[|\]$/g, ''))
      await once(made, 'listening')
      return made
    },
    mayPass: isAddressTaken,
  })
  const bound = server.address()
  return { server, address: `${address.slice(0, cut)}:${String(typeof bound === 'object' && bound !== null ? bound.port : 0)}` }
}
