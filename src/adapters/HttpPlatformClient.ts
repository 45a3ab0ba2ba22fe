/**
 * The platform client over HTTP: the platform's list where its address is known, and the model servers, each call
 * bounded in time.
 */
import { request } from 'undici'
import type { Order } from '../common/Order.js'
import type { PlatformServer } from '../common/PlatformServer.js'
import type { Report } from '../common/Report.js'
import { ModelServerFormat } from './ModelServerFormat.js'
import type { PlatformClient } from './PlatformClient.js'
import { postAlone } from './postAlone.js'
import { readPlatform } from './readPlatform.js'
import { readText } from './readText.js'

/** Of a server's report. */
const reportBytes = 8_000_000

export class HttpPlatformClient implements PlatformClient {
  readonly #platform: string | undefined

  constructor(platform: string | undefined) {
    this.#platform = platform
  }

  async list(waitMs: number): Promise<PlatformServer[] | undefined> {
    return this.#platform === undefined ? undefined : readPlatform(this.#platform, waitMs)
  }

  async holds(_server: string, address: string, epoch: number, waitMs: number): Promise<Report | undefined> {
    const reply = await this.#read(address, ModelServerFormat.holdsPath(epoch), waitMs)
    return reply?.status === 200 ? ModelServerFormat.report(reply.body) : undefined
  }

  async order(
    _server: string,
    address: string,
    order: Order,
    _owner: string,
    waitMs: number,
  ): Promise<'accepted' | 'turnedAway' | 'unknown'> {
    const status = await postAlone(address, ModelServerFormat.ordersPath, JSON.stringify(order), {}, waitMs)
    return status === undefined ? 'unknown' : ModelServerFormat.reply(status)
  }

  async #read(address: string, path: string, waitMs: number): Promise<{ status: number; body: string } | undefined> {
    try {
      const reply = await request(`http://${address}${path}`, { signal: AbortSignal.timeout(waitMs) })
      return { status: reply.statusCode, body: await readText(reply.body, reportBytes) }
    } catch {
      return undefined
    }
  }
}
