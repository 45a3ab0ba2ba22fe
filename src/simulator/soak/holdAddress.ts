/**
 * Takes an address for a while, as another process might; gives what gives it up again.
 */
import { once } from 'node:events'
import { createServer } from 'node:net'

export async function holdAddress(host: string, port: number): Promise<() => Promise<void>> {
  const server = createServer((socket) => socket.destroy())
  server.listen(port, host)
  await once(server, 'listening')
  return async () => {
    if (!server.listening) return
    server.close()
    await once(server, 'close')
  }
}
