/**
 * Reads and drops, without parsing it, what still comes on a connection of an HTTP server whose request was refused. A connection that
 * is closed over unread bytes is reset, and its client may never see the answer; so this goes on until nothing more comes, for a
 * bounded time and number of bytes.
 */
import type { Socket } from 'node:net'
import type { GarbagePacer } from './GarbagePacer.js'

const mostMs = 2000
const mostBytes = 32 * 1024 * 1024
/** After so long a silence nothing more is awaited. */
const quietMs = 100

/** Resolves when the answer may be written; the connection must then be closed. `restBytes` are still to come, where that is known. */
export function discardInput(socket: Socket, garbage: GarbagePacer, restBytes = Infinity): Promise<void> {
  return new Promise((resolve) => {
    let bytes = 0
    const end = () => {
      clearTimeout(quiet)
      clearTimeout(most)
      resolve()
    }
    const quiet = setTimeout(end, quietMs)
    const most = setTimeout(end, mostMs)
    socket.removeAllListeners('data')
    socket.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      garbage.arrived(chunk.length)
      quiet.refresh()
      if (bytes >= Math.min(restBytes, mostBytes)) end()
    })
    socket.once('end', end)
    socket.once('close', end)
    socket.resume()
    if (socket.destroyed || restBytes <= 0) end()
  })
}
