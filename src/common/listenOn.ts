/**
 * Has a server listen on an address, once whoever holds it has given it up.
 */
import { once } from 'node:events'
import type { ListenOptions, Server } from 'node:net'
import { isAddressTaken } from './isAddressTaken.js'
import type { StartWait } from './StartWait.js'

/** Throws the error of the listening where the address can't be had in time. */
export function listenOn(server: Server, options: ListenOptions & { host: string; port: number }, wait: StartWait): Promise<void> {
  return wait.until({
    resource: `${options.host}:${String(options.port)}`,
    attempt: async () => {
      server.listen(options)
      await once(server, 'listening')
    },
    mayPass: isAddressTaken,
  })
}
