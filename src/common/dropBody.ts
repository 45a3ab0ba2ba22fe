/**
 * Reads and drops what still comes of a body that is not taken. Where the answer will end the connection, it is to wait for that: a
 * connection that is closed over unread bytes is reset, and its caller may never see the answer.
 */
import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'

/** How long an answer waits for the rest of a body. */
const mostMs = 2000

/** Resolves when the request may be answered. */
export async function dropBody(request: IncomingMessage, response: ServerResponse): Promise<void> {
  request.resume()
  if (response.shouldKeepAlive || request.complete || request.destroyed) return
  const over = new AbortController()
  const { signal } = over
  await Promise.race([once(request, 'end', { signal }), once(request, 'close', { signal }), pause(mostMs, undefined, { signal })]).catch(
    () => undefined,
  )
  over.abort()
}
