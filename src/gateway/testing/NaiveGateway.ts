/**
 * A gateway for tests that is wrong in one way, to show that the judge of a schedule notices it. Without a
 * fault it passes each request to one server and its answer back.
 */
import { createServer, request, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { readBody } from '../../common/readBody.js'
import { OwnLoopback } from '../../common/testing/OwnLoopback.js'
import { TurnClock } from '../../common/testing/TurnClock.js'

type Fault =
  'swaps' | 'resends' | 'promises' | 'strips' | 'cuts' | 'changes' | 'joins' | 'repeats' | 'holds' | 'spreads' | 'alters' | 'adds'
interface Reply {
  status: number
  headers: Record<string, string>
  body: string
  whole: boolean
}

export class NaiveGateway {
  readonly #fault: Fault
  readonly #servers: readonly string[]
  readonly #listener: Server
  #turn = 0
  #last: Reply | undefined

  constructor(fault: Fault, servers: readonly string[]) {
    this.#fault = fault
    this.#servers = servers
    this.#listener = createServer((incoming, response) => {
      void this.#serve(incoming, response)
    })
  }

  open(): Promise<string> {
    return OwnLoopback.listen(this.#listener)
  }

  stop(): Promise<void> {
    this.#listener.close()
    this.#listener.closeAllConnections()
    return Promise.resolve()
  }

  async #serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = String(incoming.headers['request-id'])
    const body = (await readBody(incoming, 1_000_000)) ?? Buffer.alloc(0)
    const sent = this.#fault === 'alters' ? Buffer.from(`${body.toString()}?`) : body
    let reply = await this.#send(incoming, sent)
    const tries = { resends: 2, spreads: 6 }[String(this.#fault)] ?? 1
    for (let at = 1; at < tries && (reply.status !== 200 || !reply.whole); at++) reply = await this.#send(incoming, sent)
    if (this.#fault === 'joins' && !reply.whole && reply.body.includes('id: ')) {
      const next = await this.#send(incoming, sent)
      reply = { ...reply, body: reply.body + next.body, whole: true }
    }
    if (this.#fault === 'swaps') [reply, this.#last] = [this.#last ?? reply, reply]
    if (this.#fault === 'repeats') reply.body = reply.body.replace(/(id: 2\n[^\n]*\n\n)/, '$1$1')
    if (this.#fault === 'strips') delete reply.headers['seal']
    if (this.#fault === 'changes' && reply.status >= 500) reply.status = 404
    if (this.#fault === 'cuts') reply = { ...reply, body: reply.body.slice(0, -5), whole: true }
    if (this.#fault === 'promises' && !reply.whole) reply = { status: 503, headers: { 'request-id': id }, body: '', whole: true }
    if (this.#fault === 'holds') await TurnClock.turnsAlone.pass(1000)
    if (response.destroyed) return
    if (!reply.whole) {
      response.destroy()
      return
    }
    response.writeHead(reply.status, reply.headers)
    response.end(reply.body)
    if (this.#fault === 'adds') incoming.socket.write('HTTP/1.1 200 OK\r\nseal: s\r\ncontent-length: 0\r\n\r\n')
  }

  async #send(incoming: IncomingMessage, body: Buffer): Promise<Reply> {
    const address = new URL(`http://${this.#servers[this.#turn++ % this.#servers.length] ?? ''}`)
    const reply: Reply = { status: 502, headers: { 'request-id': String(incoming.headers['request-id']) }, body: '', whole: false }
    const headers = { 'request-id': reply.headers['request-id'], 'content-length': body.length }
    await new Promise<void>((resolve) => {
      const outgoing = request(
        { host: address.hostname, port: address.port, method: 'POST', path: incoming.url, headers, agent: false, timeout: 400 },
        (answer) => {
          reply.status = answer.statusCode ?? 502
          for (const name of ['request-id', 'seal', 'content-type']) {
            const value = answer.headers[name]
            if (typeof value === 'string') reply.headers[name] = value
          }
          answer.on('data', (chunk: Buffer) => (reply.body += chunk.toString('latin1')))
          answer.on('end', () => (reply.whole = answer.complete))
          answer.on('close', resolve)
          answer.on('error', () => undefined)
        },
      )
      outgoing.on('error', () => undefined)
      outgoing.on('close', resolve)
      outgoing.on('timeout', () => outgoing.destroy())
      outgoing.end(body)
    })
    return reply
  }
}
