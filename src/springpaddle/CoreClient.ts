/**
 * Asks the core through its operators' API: the addresses in turn until one answers. A write keeps
 * its operation id over all tries, so that it takes effect once.
 */
import { request } from 'undici'

export class CoreClient {
  readonly #addresses: readonly string[]
  readonly #waitMs: number

  constructor(addresses: readonly string[], waitMs: number) {
    this.#addresses = addresses
    this.#waitMs = waitMs
  }

  async ask(method: 'GET' | 'PUT' | 'PATCH' | 'POST', path: string, body?: string, headers: Record<string, string> = {}): Promise<{ status: number; stamp: number; body: string }> {
    const operation = headers['operation-id'] ?? crypto.randomUUID()
    const untilMs = performance.now() + this.#waitMs
    let last = 'no address was given'
    for (let round = 0; round < 3; round++) {
      for (const address of this.#addresses) {
        const leftMs = Math.max(1, Math.round(untilMs - performance.now()))
        try {
          const reply = await request(`http://${address}${path}`, { method, body: body ?? null, headers: { ...headers, 'operation-id': operation, 'due-ms': String(leftMs) }, headersTimeout: leftMs + 2000 })
          const stamp = Number(String(reply.headers['etag'] ?? '').replaceAll('"', ''))
          return { status: reply.statusCode, stamp, body: await reply.body.text() }
        } catch (error) {
          last = `${address}: ${error instanceof Error ? error.message : String(error)}`
        }
      }
    }
    return { status: 0, stamp: 0, body: JSON.stringify({ errors: [`no core machine answered (${last})`], operation }) }
  }
}
