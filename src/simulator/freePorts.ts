/**
 * Finds loopback ports that are free now, all held open together so that none is given twice.
 */
import { createServer } from 'node:net'
import { once } from 'node:events'

export async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, '127.0.0.1'))
  const ports: number[] = []
  for (const server of servers) {
    if (!server.listening) await once(server, 'listening')
    const bound = server.address()
    ports.push(typeof bound === 'object' && bound !== null ? bound.port : 0)
  }
  for (const server of servers) {
    server.close()
    await once(server, 'close')
  }
  return ports
}
