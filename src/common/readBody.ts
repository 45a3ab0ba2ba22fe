/**
 * Reads an HTTP body whole, or gives nothing once it is over a limit or breaks off.
 */
import type { IncomingMessage } from 'node:http'

export function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let bytes = 0
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > limitBytes) {
        resolve(undefined)
        request.removeAllListeners('data')
        request.resume()
      } else chunks.push(chunk)
    })
    request.on('end', () => {
      resolve(bytes > limitBytes ? undefined : Buffer.concat(chunks))
    })
    request.on('error', () => {
      resolve(undefined)
    })
    request.on('close', () => {
      resolve(undefined)
    })
  })
}
