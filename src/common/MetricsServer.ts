/**
 * Serves a daemon's figures over HTTP at one path, and nothing else. It is there to be looked at, so it never
 * stops its daemon: an address that can't be had, or a reading that fails, is only a line in the log. While
 * nobody asks it costs nothing: it has no timer that fires, and the meters may be made at the first request.
 */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Logger } from './Logger.js'
import type { Meters } from './Meters.js'

interface Endpoint {
  host: string
  port: number
  path: string
}
/** The HTTP server looks for slow requests by a timer; sockets that are silent for `silentMs` are closed without it. */
const neverMs = 2_147_483_647
const silentMs = 5000
const mostConnections = 8

function whyOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

export class MetricsServer {
  readonly #path: string
  readonly #meters: () => Promise<Meters>
  readonly #logger: Logger
  readonly #server: Server

  private constructor(path: string, meters: () => Promise<Meters>, logger: Logger) {
    this.#path = path
    this.#meters = meters
    this.#logger = logger
    this.#server = createServer({ connectionsCheckingInterval: neverMs }, (request, response) => {
      void this.#serve(request, response)
    })
    this.#server.setTimeout(silentMs)
    this.#server.maxConnections = mostConnections
  }

  /** Undefined, with a warning in the log, if it can't listen there. */
  static async open(endpoint: Endpoint, meters: () => Promise<Meters>, logger: Logger): Promise<MetricsServer | undefined> {
    const { host, port, path } = endpoint
    const metrics = new MetricsServer(path, meters, logger)
    const server = metrics.#server
    server.listen({ host, port, backlog: mostConnections })
    try {
      await once(server, 'listening')
    } catch (error) {
      logger.warn('metrics', `Can't be served on ${host}:${String(port)}: ${whyOf(error)}.`)
      return undefined
    }
    server.on('error', (error) => {
      logger.warn('metrics', `Could not take a connection: ${error.message}.`)
    })
    return metrics
  }

  get port(): number {
    const bound = this.#server.address()
    return typeof bound === 'object' && bound !== null ? bound.port : 0
  }

  close(): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.shouldKeepAlive = false
    if (request.url !== this.#path) response.writeHead(404, { 'content-length': 0 }).end()
    else if (request.method !== 'GET') response.writeHead(405, { allow: 'GET', 'content-length': 0 }).end()
    else await this.#tell(response)
  }

  async #tell(response: ServerResponse): Promise<void> {
    try {
      const meters = await this.#meters()
      const text = await meters.text()
      response.writeHead(200, { 'content-type': meters.contentType, 'content-length': Buffer.byteLength(text) }).end(text)
    } catch (error) {
      this.#logger.warn('metrics', `Could not be read: ${whyOf(error)}.`)
      response.writeHead(500, { 'content-length': 0 }).end()
    }
  }
}
