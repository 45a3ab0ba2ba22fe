/**
 * Reads the body of an answer as text, up to a limit; an answer beyond it is an error, and its connection is given up.
 */
import type { Readable } from 'node:stream'
import { ByteBuffer } from '../common/ByteBuffer.js'

export async function readText(body: Readable, limitBytes: number): Promise<string> {
  const bytes = new ByteBuffer(limitBytes)
  for await (const chunk of body) {
    if (!(chunk instanceof Buffer)) throw new Error('the body does not come as bytes')
    // Leaving the loop destroys the body.
    if (!bytes.append(chunk)) throw new Error(`the answer is over ${String(limitBytes)} bytes`)
  }
  return bytes.bytes.toString()
}
