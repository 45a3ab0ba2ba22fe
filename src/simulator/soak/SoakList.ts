/**
 * The platform's list of servers, as it stood a moment before: a server that has crashed stays on it for a while.
 */
import { createServer, type Server } from 'node:http'
import { once } from 'node:events'
import { clockMs } from '../../common/clockMs.js'
import type { SoakDialect } from './SoakDialect.js'
import type { SoakListed } from './SoakListed.js'
import type { SoakServer } from './SoakServer.js'

const port = 8142
const lagMs = 800
const snapshotMs = 50
const crashedStaysMs = 1500

export class SoakList {
  readonly address: string
  readonly #servers: readonly SoakServer[]
  readonly #server: Server
  readonly #seen = new Map<string, { listed: SoakListed; lastMs: number }>()
  #snapshots: { atMs: number; listed: SoakListed[] }[] = []
  #ticks: NodeJS.Timeout | undefined
  calls = 0

  constructor(ip: string, servers: readonly SoakServer[], dialect: SoakDialect) {
    this.address = `${ip}:${String(port)}`
    this.#servers = servers
    this.#server = createServer((request, response) => {
      this.calls += 1
      const found = this.#snapshots.findLast((one) => one.atMs <= clockMs() - lagMs) ?? this.#snapshots[0]
      const known = (request.url ?? '').startsWith(dialect.paths.list)
      response.writeHead(known ? 200 : 404, { 'content-type': 'application/json' }).end(known ? dialect.list(found?.listed ?? []) : '{}')
    })
  }

  async open(): Promise<void> {
    const cut = this.address.lastIndexOf(':')
    this.#server.listen(port, this.address.slice(0, cut))
    await once(this.#server, 'listening')
    this.#snap()
    this.#ticks = setInterval(() => {
      this.#snap()
    }, snapshotMs)
  }

  close(): void {
    clearInterval(this.#ticks)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #snap(): void {
    const nowMs = clockMs()
    for (const { listed } of this.#servers) if (listed !== undefined) this.#seen.set(listed.server, { listed, lastMs: nowMs })
    for (const [server, { lastMs }] of this.#seen) if (nowMs - lastMs > crashedStaysMs) this.#seen.delete(server)
    this.#snapshots.push({ atMs: nowMs, listed: [...this.#seen.values()].map(({ listed }) => listed) })
    this.#snapshots = this.#snapshots.filter((one) => one.atMs > nowMs - lagMs - 4 * snapshotMs)
  }
}
