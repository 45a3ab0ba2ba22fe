/**
 * One connection to one server, used for one request at a time. The server's identity is checked on it, and once its socket has
 * closed it never connects again, so that no request can go over a connection that was not checked.
 */
import { buildConnector, Client } from 'undici'
import type { Dispatcher } from 'undici'
import { readText } from '../adapters/readText.js'
import { ServerFormat } from '../adapters/ServerFormat.js'

const identityBytes = 100_000

export class ServerConnection {
  readonly address: string
  readonly #client: Client
  spent = false
  identity: ServerFormat | undefined

  constructor(address: string, waitMs: number, idleMs: number) {
    this.address = address
    const connector = buildConnector({ timeout: waitMs })
    let used = false
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: idleMs,
      keepAliveTimeout: 600_000,
      connect: (options, callback) => {
        if (used) {
          callback(new Error('the connection is closed'), null)
          return
        }
        used = true
        connector(options, callback)
      },
    })
    this.#client.on('disconnect', () => {
      this.spent = true
    })
    this.#client.on('connectionError', () => {
      this.spent = true
    })
  }

  async identify(waitMs: number): Promise<ServerFormat> {
    const reply = await this.#client.request({ path: ServerFormat.identityPath, method: 'GET', signal: AbortSignal.timeout(waitMs) })
    const body = await readText(reply.body, identityBytes)
    const identity = reply.statusCode === 200 ? ServerFormat.identity(body) : undefined
    if (identity === undefined) throw new Error('the server did not say who it is')
    this.identity = identity
    return identity
  }

  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.#client.dispatch(options, handler)
  }

  close(): void {
    this.spent = true
    void this.#client.destroy().catch(() => undefined)
  }
}
