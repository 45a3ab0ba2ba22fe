/**
 * Reads an HTTP body whole, or gives nothing once it is over a limit or breaks off.
 */
import type { IncomingMessage } from 'node:http'
import { ByteBuffer } from './ByteBuffer.js'

export function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const body = new ByteBuffer(limitBytes)
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
