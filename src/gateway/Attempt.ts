/**
 * One attempt at a server, as the client library's handler: it starts the request at most once, checks that
 * the answer is this request's own and whole, and passes on of it what the machine lets through. Nothing
 * that comes after the machine has left the attempt has any effect.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import { ByteBuffer } from '../common/ByteBuffer.js'
import { Verdict } from '../common/Verdict.js'
import { passedOn } from '../adapters/passedOn.js'
import type { RouteCodec } from '../adapters/RouteCodec.js'
import { EventScanner } from './EventScanner.js'
import type { GatewayInput } from './GatewayInput.js'
import type { Ticket } from './Ticket.js'

/** Answers up to this length are gathered, so that one cut short can still be replaced. */
const gatheredBytes = 1_000_000

interface Place {
  id: string
  attempt: number
  /** The event after which the server was asked to go on. */
  resumeAfter: string | undefined
  ticket: Ticket
  /** False once the caller has its final answer or is gone. */
  isOpen: () => boolean
  /** Tells that the final answer is about to be written. */
  close: () => void
  step: (input: GatewayInput) => void
}

function isStream(status: number, headers: IncomingHttpHeaders): boolean {
  return status === 200 && String(headers['content-type'] ?? '').startsWith('text/event-stream')
}

export class Attempt implements Dispatcher.DispatchHandler {
  readonly #place: Place
  readonly #wire: RouteCodec
  #started = false

  constructor(place: Place, wire: RouteCodec) {
    this.#place = place
    this.#wire = wire
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (!this.#isLive() || this.#started) {
      controller.abort(new Error(this.#started ? 'the request was about to be sent again' : 'released'))
      return
    }
    this.#started = true
    const { id, attempt, ticket, step } = this.#place
    ticket.controller = controller
    step({ kind: 'sent', id, attempt })
  }

  onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (status < 200 || !this.#isLive()) return
    const { id, attempt, ticket, step } = this.#place
    const reply = this.#wire.reply(status, headers)
    const fault = this.#faultOf(status, headers)
    if (fault !== undefined) {
      this.#defect(Verdict.mayHaveRun, fault)
      return
    }
    step({ kind: 'head', id, attempt, status, notRun: reply.notRun })
    if (!ticket.relaying || !this.#isLive()) return
    const length = headers['content-length']
    const events = isStream(status, headers)
    if (events) ticket.scanner = new EventScanner(this.#place.resumeAfter)
    else if (length === undefined || Number(length) <= gatheredBytes) ticket.gathered = this.#gatherer(length)
    if (ticket.response.headersSent) return
    ticket.head = { status, headers: passedOn(headers) }
    if (!events && typeof length === 'string') ticket.head.headers['content-length'] = length
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    const { ticket } = this.#place
    if (!ticket.relaying || !this.#isLive()) return
    if (ticket.scanner !== undefined) this.#passEvents(ticket.scanner, controller, chunk)
    else if (ticket.gathered !== undefined) this.#gather(ticket.gathered, controller, chunk)
    else this.#pass(controller, chunk, undefined, true)
  }

  onResponseEnd(): void {
    const { id, attempt, ticket, step, close } = this.#place
    if (!ticket.relaying || !this.#isLive()) return
    if (ticket.scanner?.partial === true) {
      this.#defect(Verdict.mayHaveRun, 'the stream ended within an event')
      return
    }
    close()
    this.#writeHead()
    ticket.response.end(ticket.gathered?.bytes)
    step({ kind: 'ended', id, attempt })
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (!this.#isLive()) return
    this.#place.ticket.controller = undefined
    this.#defect(this.#started ? Verdict.mayHaveRun : Verdict.notRun, error.message)
  }

  /** Why the answer may not be passed on, if it may not; one that did not run the request has nothing to pass on. */
  #faultOf(status: number, headers: IncomingHttpHeaders): string | undefined {
    const { ticket } = this.#place
    const reply = this.#wire.reply(status, headers)
    if (reply.id !== ticket.requestId) return 'an answer to another request'
    if (status < 300 && !reply.sealed) return 'the answer is not sealed'
    if (reply.notRun) return undefined
    if (ticket.response.headersSent && !isStream(status, headers)) return `the stream was not taken up: ${String(status)}`
    const bare = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined
    if (bare && status !== 204 && status !== 304) return 'the answer has neither a length nor chunks'
    return undefined
  }

  /** Starts anew with the memory that an earlier attempt gathered its answer in. */
  #gatherer(length: string | string[] | undefined): ByteBuffer {
    const { answerMemory } = this.#place.ticket
    answerMemory.resize(0)
    return new ByteBuffer(gatheredBytes, answerMemory, length === undefined ? gatheredBytes : Number(length))
  }

  /** An answer that turns out to be long, or finds no memory, goes on as it comes, like one that told its length. */
  #gather(gathered: ByteBuffer, controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (gathered.append(chunk)) return
    const { ticket } = this.#place
    ticket.gathered = undefined
    this.#pass(controller, gathered.bytes, undefined, true)
    if (this.#isLive()) this.#pass(controller, chunk, undefined, true)
  }

  #passEvents(scanner: EventScanner, controller: Dispatcher.DispatchController, chunk: Buffer): void {
    for (const event of scanner.take(chunk)) this.#pass(controller, Buffer.from(event.text, 'latin1'), event.id, event.data)
    if (scanner.rewound && this.#isLive()) this.#defect(Verdict.mayHaveRun, 'the events of the stream do not rise')
    if (scanner.overlong && this.#isLive()) this.#defect(Verdict.mayHaveRun, 'an event of the stream is too long')
  }

  #pass(controller: Dispatcher.DispatchController, bytes: Buffer, event: string | undefined, data: boolean): void {
    const { id, attempt, ticket, step } = this.#place
    this.#writeHead()
    const taken = ticket.response.write(bytes)
    step({ kind: 'event', id, attempt, event, data })
    if (taken) return
    controller.pause()
    step({ kind: 'flow', id, attempt, blocked: true })
  }

  #writeHead(): void {
    const { response, head } = this.#place.ticket
    if (response.headersSent || head === undefined) return
    response.writeHead(head.status, head.headers)
  }

  #isLive(): boolean {
    return this.#place.ticket.attempt === this.#place.attempt && this.#place.isOpen()
  }

  #defect(verdict: Verdict, why: string): void {
    const { id, attempt, step } = this.#place
    step({ kind: 'defect', id, attempt, verdict, why })
  }
}
