/**
 * Opens an HTTP app on an address and gives the server and the address it got.
 */
import { once } from 'node:events'
import type { Server } from 'node:http'
import type { App } from '@tinyhttp/app'

export async function listen(app: App, address: string): Promise<{ server: Server; address: string }> {
  const cut = address.lastIndexOf(':')
  const server = app.listen(Number(address.slice(cut + 1)), undefined, address.slice(0, cut).replace(/^\[|\]$/g, ''))
  await once(server, 'listening')
  const bound = server.address()
  return { server, address: `${address.slice(0, cut)}:${String(typeof bound === 'object' && bound !== null ? bound.port : 0)}` }
}
