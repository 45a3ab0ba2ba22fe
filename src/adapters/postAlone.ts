/**
 * Sends one order over a connection of its own. Answers to orders bear no id, so that on a kept connection a
 * late or surplus answer to an earlier call could be taken for an order's own. Nothing is sent twice; without
 * a whole answer in time the outcome is unknown.
 */
import { Client, request } from 'undici'

export async function postAlone(
  address: string,
  path: string,
  body: string,
  headers: Record<string, string>,
  waitMs: number,
): Promise<number | undefined> {
  const client = new Client(`http://${address}`, { pipelining: 1, connect: { timeout: waitMs } })
  try {
    const reply = await request(`http://${address}${path}`, {
      dispatcher: client,
      method: 'POST',
      body,
      headers: { 'content-type': 'application/json', ...headers },
      reset: true,
      signal: AbortSignal.timeout(waitMs),
    })
    await reply.body.dump()
    return reply.statusCode
  } catch {
    return undefined
  } finally {
    void client.destroy().catch(() => undefined)
  }
}
