/**
 * A caller for tests that sends its requests over one connection, in turn or at once, with bodies of a
 * length or in chunks, reads fast or slowly, and may leave in the midst.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { clockMs } from '../../common/clockMs.js'
import type { Random } from '../../common/Random.js'
import { TurnClock } from '../../common/testing/TurnClock.js'
import { AnswerReader } from './AnswerReader.js'
import type { Call } from './Call.js'
import { RawCaller } from './RawCaller.js'

const pollMs = 4
const patienceMs = 1500

export class ScheduledCaller {
  readonly calls: Call[]
  /** Bytes that came and were no answer to any of the requests. */
  surplus = ''
  readonly #random: Random

  constructor(name: string, random: Random) {
    this.#random = random
    // One due for all, as an answer waits for those before it on the connection.
    const dueMs = 250 + random.below(250)
    const routes = ['once', 'often', 'stream', 'single'] as const
    this.calls = Array.from({ length: 1 + random.below(3) }, (_, at) => ({
      id: `${name}-${String(at)}`,
      route: routes[random.below(routes.length)] ?? 'once',
      body: random.hit(0.1) ? 'y'.repeat(150_000) : 'x'.repeat(random.below(50)),
      dueMs,
      sentMs: 0,
      endMs: 0,
      status: 0,
      headers: new Map(),
      answer: '',
      whole: false,
      left: false,
    }))
  }

  async run(address: string): Promise<void> {
    const atOnce = this.#random.hit(0.2)
    const leaveAfterMs = this.#random.hit(0.15) ? this.#random.below(200) : Infinity
    const isSlow = this.#random.hit(0.15)
    let connection: RawCaller | undefined
    let sent = 0
    let base = 0
    const startedMs = clockMs()
    while (TurnClock.turnsAlone.betweenMs(startedMs, clockMs()) < patienceMs * this.calls.length) {
      if (connection === undefined || connection.closed) {
        if (connection !== undefined) this.#take(connection, base, sent)
        base = this.calls.filter((call) => call.endMs > 0).length
        if (base === this.calls.length) break
        sent = base
        connection = new RawCaller(address, '')
      }
      this.#take(connection, base, sent)
      const done = this.calls.filter((call) => call.endMs > 0).length
      if (done === this.calls.length) break
      while (sent < this.calls.length && (atOnce || sent === done) && !connection.closed) {
        const call = this.calls[sent]
        if (call === undefined) break
        call.sentMs = clockMs()
        connection.send(this.#text(call))
        sent += 1
      }
      if (isSlow) await this.#rest(connection)
      if (clockMs() - startedMs > leaveAfterMs) break
      await pause(pollMs)
    }
    const nowMs = clockMs()
    for (const call of this.calls) {
      if (call.endMs > 0) continue
      call.left = leaveAfterMs < Infinity || call.sentMs === 0
      call.endMs = nowMs
    }
    connection?.leave()
  }

  async #rest(connection: RawCaller): Promise<void> {
    connection.pause()
    await pause(2 + this.#random.below(20))
    connection.resume()
  }

  #text(call: Call): string {
    const { id, route, body, dueMs } = call
    const head = `POST /${route}/${id} HTTP/1.1\r\nhost: h.example\r\nrequest-id: ${id}\r\ndue-ms: ${String(dueMs)}\r\n`
    const close = this.#random.hit(0.1) ? 'connection: close\r\n' : ''
    if (this.#random.hit(0.5)) return `${head}${close}content-length: ${String(body.length)}\r\n\r\n${body}`
    const chunk = body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`
    return `${head}${close}transfer-encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`
  }

  /** Matches the answers on a connection with its requests, by their order alone. */
  #take(connection: RawCaller, base: number, sent: number): void {
    const { answers, rest } = AnswerReader.read(connection.text)
    const nowMs = clockMs()
    for (const [at, answer] of answers.entries()) {
      const call = base + at < sent ? this.calls[base + at] : undefined
      if (call === undefined) {
        this.surplus = 'an answer where no request waits'
        continue
      }
      Object.assign(call, { status: answer.status, headers: answer.headers, answer: answer.body, whole: answer.whole })
      if (answer.whole && call.endMs === 0) call.endMs = nowMs
    }
    if (!connection.closed) return
    if (rest !== '') this.surplus = 'bytes that are no answer'
    for (const call of this.calls.slice(base, sent)) if (call.endMs === 0) call.endMs = nowMs
  }
}
