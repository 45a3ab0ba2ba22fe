/**
 * Asks the core through its operators' API: the addresses in turn, each for a part of the wait, so
 * that a frozen machine does not use it up. A write keeps its operation id over all tries, so that it
 * takes effect once.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { request } from 'undici'
import { readText } from '../adapters/readText.js'

/** The largest that a control node keeps is a whole charter or network. */
const answerBytes = 64_000_000

export class CoreClient {
  readonly #addresses: readonly string[]
  readonly #waitMs: number

  constructor(addresses: readonly string[], waitMs: number) {
    this.#addresses = addresses
    this.#waitMs = waitMs
  }

  async ask(
    method: 'GET' | 'PUT' | 'PATCH' | 'POST' | 'DELETE',
    path: string,
    body?: string,
    headers: Record<string, string> = {},
  ): Promise<{ status: number; stamp: number; body: string }> {
    const operation = headers['operation-id'] ?? crypto.randomUUID()
    const untilMs = performance.now() + this.#waitMs
    let last = 'no address was given'
    let undecided: { status: number; stamp: number; body: string } | undefined
    for (let round = 0; round < 12 && performance.now() < untilMs; round++) {
      if (round > 0) await pause(100)
      for (const address of this.#addresses) {
        const leftMs = Math.max(1, Math.min(Math.round(untilMs - performance.now()), Math.ceil(this.#waitMs / 4)))
        try {
          const reply = await request(`http://${address}${path}`, {
            method,
            body: body ?? null,
            headers: { ...headers, 'operation-id': operation, 'due-ms': String(leftMs) },
            signal: AbortSignal.timeout(leftMs + 200),
          })
          const stamp = Number(String(reply.headers['etag'] ?? '').replaceAll('"', ''))
          const answered = { status: reply.statusCode, stamp, body: await readText(reply.body, answerBytes) }
          if (answered.status !== 504) return answered
          undecided = answered
        } catch (error) {
          last = `${address}: ${error instanceof Error ? error.message : String(error)}`
        }
      }
    }
    if (undecided !== undefined) return undecided
    return { status: 0, stamp: 0, body: JSON.stringify({ errors: [`no core machine answered (${last})`], operation }) }
  }
}
