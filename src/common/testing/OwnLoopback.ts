/**
 * A loopback address of this process's own, made of its process id. A server on it, and a port that is chosen there, closed and bound
 * again later, also by a process started from here, are met by no test or run beside it: that has another process id, so another
 * address, and what dials out does so from 127.0.0.1.
 */
import { once } from 'node:events'
import { createServer, type Server } from 'node:net'

const hostFrom = (first: number) =>
  `127.${String(first + (process.pid >> 16))}.${String((process.pid >> 8) & 255)}.${String(process.pid & 255)}`
const host = hostFrom(64)
/** Ports are counted from here, below those that the system gives out by itself, and none is given twice. */
let lastPort = 20_000

async function listen(server: Server, port = 0): Promise<string> {
  server.listen(port, host)
  await once(server, 'listening')
  const bound = server.address()
  return `${host}:${String(typeof bound === 'object' && bound !== null ? bound.port : 0)}`
}

async function freeAddress(): Promise<string> {
  for (;;) {
    const server = createServer()
    lastPort += 1
    try {
      const address = await listen(server, lastPort)
      server.close()
      await once(server, 'close')
      return address
    } catch (error) {
      // A server on all of the machine's addresses has it.
      if (!(error instanceof Error && 'code' in error && error.code === 'EADDRINUSE')) throw error
    }
  }
}

export const OwnLoopback = {
  host,
  /** Another address of this process's own, for a second machine with the same ports. */
  secondHost: hostFrom(128),
  /** For what listens on a port that the system chooses and keeps it. */
  anyPort: `${host}:0`,
  /** Opens a server, on a port that the system chooses if none is given; gives its address. */
  listen,
  /** An address to listen on later; each call gives another. */
  freeAddress,
  portOf: (address: string): number => Number(address.slice(address.lastIndexOf(':') + 1)),
}
