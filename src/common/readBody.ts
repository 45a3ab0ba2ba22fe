/**
 * Reads an HTTP body whole, or gives nothing once it is over a limit, finds no memory or breaks off. What still comes of a body that
 * is not taken is read and dropped.
 */
import type { IncomingMessage } from 'node:http'
import { ByteBuffer } from './ByteBuffer.js'
import type { MemoryReservation } from './MemoryReservation.js'

function lengthOf(request: IncomingMessage): number | undefined {
  const told = Number(request.headers['content-length'] ?? NaN)
  return Number.isSafeInteger(told) ? told : undefined
}

/** `memory` holds the body's bytes until its owner releases it; it tells whether a growth was refused. */
export function readBody(request: IncomingMessage, limitBytes: number, memory?: MemoryReservation): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const body = new ByteBuffer(limitBytes, memory, lengthOf(request))
    let whole = true
    request.on('data', (chunk: Buffer) => {
      if (body.append(chunk)) return
      whole = false
      body.clear()
      resolve(undefined)
      request.removeAllListeners('data')
      request.resume()
    })
    request.on('end', () => {
      resolve(whole ? body.bytes : undefined)
    })
    request.on('error', () => {
      resolve(undefined)
    })
    request.on('close', () => {
      resolve(undefined)
    })
  })
}
