/**
 * Reads the platform's list of servers, bounded in time; nothing when it cannot be had whole.
 */
import { request } from 'undici'
import type { PlatformServer } from '../common/PlatformServer.js'
import { PlatformFormat } from './PlatformFormat.js'
import { readText } from './readText.js'

const listBytes = 16_000_000

export async function readPlatform(address: string, waitMs: number): Promise<PlatformServer[] | undefined> {
  try {
    const reply = await request(`http://${address}${PlatformFormat.path}`, { signal: AbortSignal.timeout(waitMs) })
    const body = await readText(reply.body, listBytes)
    return reply.statusCode === 200 ? PlatformFormat.read(body) : undefined
  } catch {
    return undefined
  }
}
