/**
 * The signalbox's calls to model servers, each bounded in time. Whatever goes
 * wrong becomes an outcome; nothing throws.
 */
import { request } from 'undici'
import type { Order } from '../gauge/Order.js'
import type { Report } from '../gauge/Report.js'
import { ModelServerFormat } from '../sidings/ModelServerFormat.js'

export class OutsideCalls {
  async holds(address: string, tenure: number, waitMs: number): Promise<Report | undefined> {
    const reply = await this.#call(address, ModelServerFormat.holdsPath(tenure), 'GET', undefined, waitMs)
    return reply?.status === 200 ? ModelServerFormat.report(reply.body) : undefined
  }

  async order(address: string, order: Order, waitMs: number): Promise<'accepted' | 'turnedAway' | 'unknown'> {
    const reply = await this.#call(address, ModelServerFormat.ordersPath, 'POST', JSON.stringify(order), waitMs)
    return reply === undefined ? 'unknown' : ModelServerFormat.reply(reply.status)
  }

  async #call(
    address: string,
    path: string,
    method: 'GET' | 'POST',
    body: string | undefined,
    waitMs: number,
  ): Promise<{ status: number; body: string } | undefined> {
    try {
      const reply = await request(`http://${address}${path}`, {
        method,
        body: body ?? null,
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        signal: AbortSignal.timeout(waitMs),
      })
      return { status: reply.statusCode, body: await reply.body.text() }
    } catch {
      return undefined
    }
  }
}
