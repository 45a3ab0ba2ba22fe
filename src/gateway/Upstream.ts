/**
 * One pool of connections for each life of a server, one request at a time on each. A connection that
 * carried anything unexpected is closed by the client library, and one that was idle for long is not used again.
 */
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'

interface Times {
  connectMs: number
  idleMs: number
}

/** Stands in for the controller of a request that the client library did not take. */
const idle: Dispatcher.DispatchController = {
  aborted: true,
  paused: false,
  reason: null,
  rawHeaders: null,
  rawTrailers: null,
  abort: () => undefined,
  pause: () => undefined,
  resume: () => undefined,
}

export class Upstream {
  readonly #times: Times
  readonly #pools = new Map<string, Pool>()

  constructor(times: Times) {
    this.#times = times
  }

  dispatch(
    server: string,
    address: string,
    connections: number,
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    let pool = this.#pools.get(server)
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections,
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: this.#times.idleMs,
        keepAliveMaxTimeout: 600_000,
        keepAliveTimeoutThreshold: 1500,
        connect: { timeout: this.#times.connectMs, noDelay: true },
      })
      this.#pools.set(server, pool)
    }
    try {
      pool.dispatch(options, handler)
    } catch (error) {
      handler.onResponseError?.(idle, error instanceof Error ? error : new Error(String(error)))
    }
  }

  /** Closes the pools of servers that are gone. */
  sweep(known: (server: string) => boolean): void {
    for (const [server, pool] of this.#pools) {
      if (known(server)) continue
      this.#pools.delete(server)
      void pool.close().catch(() => undefined)
    }
  }

  close(): void {
    for (const pool of this.#pools.values()) void pool.destroy().catch(() => undefined)
    this.#pools.clear()
  }
}
