/**
 * Operators of a model run: two that change the network, at times under one number, and one that empties a
 * zone and fills it again. Each sends an order through random nodes until it has a clear answer or gives up,
 * at times to two nodes at once, and at times one again that it had sent before.
 */
import type { OperatorAnswer } from './OperatorAnswer.js'
import type { OrderAttempt } from './OrderAttempt.js'
import type { OrderWorld } from './OrderWorld.js'

const limits = { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 }
const noOrder = { branch: '', text: '', ifMatch: -1, operation: '' }

interface Order {
  readonly tag: number
  readonly ifMatch: number
  readonly revision: number
  readonly patches: boolean
}
const isClear = ({ status }: OperatorAnswer): boolean => status === 200 || (status >= 400 && status < 500)

export class OrderCallers {
  readonly #world: OrderWorld
  readonly #endMs: number
  /** Told when an order is sent and when one is acknowledged, so that troubles can come right then. */
  readonly #sent: () => void
  readonly #acknowledged: () => void
  readonly #taken: Order[] = []
  #tags = 0
  #known = 0

  constructor(world: OrderWorld, endMs: number, sent: () => void, acknowledged: () => void) {
    this.#world = world
    this.#endMs = endMs
    this.#sent = sent
    this.#acknowledged = acknowledged
    this.#write()
    this.#write()
    this.#order()
  }

  get #ended(): boolean {
    return this.#world.clock.nowMs >= this.#endMs
  }

  /** Sends until there is a clear answer or no more time, with a pause that grows. */
  #until(
    lastMs: number,
    send: (done: (answer: OperatorAnswer) => void) => void,
    done: (answer: OperatorAnswer) => void,
    pauseMs = 40,
  ): void {
    const { clock, random } = this.#world
    send((answer) => {
      if (isClear(answer) || clock.nowMs >= lastMs) done(answer)
      else
        clock.after(random.between(0.5, 1) * pauseMs, () => {
          this.#until(lastMs, send, done, Math.min(2 * pauseMs, 400))
        })
    })
  }

  #attempt(order: Order, done: (answer: OperatorAnswer) => void): void {
    const { clock, random, nodes, history } = this.#world
    const { tag, ifMatch, revision, patches } = order
    const node = random.pick(nodes)
    if (node === undefined) return
    const attempt: OrderAttempt = { tag, ifMatch, revision, fromMs: clock.nowMs, toMs: Infinity, status: 0 }
    history.attempts.push(attempt)
    this.#sent()
    const services = [{ name: 's', connections: tag }]
    const whole = { revision, routes: [], services, limits }
    const text = JSON.stringify(patches ? { revision, set: { services }, drop: {} } : whole)
    const action = patches ? 'network.patch' : 'network.put'
    this.#world.ask(node, { action, branch: '', text, ifMatch, operation: `${action} ${String(ifMatch)} ${text}` }, (answer) => {
      attempt.toMs = clock.nowMs
      attempt.status = isClear(answer) ? answer.status : 0
      if (answer.status === 200) this.#take(order)
      done(answer)
    })
  }

  #take(order: Order): void {
    this.#known = Math.max(this.#known, order.revision)
    this.#taken.push(order)
    this.#acknowledged()
  }

  #write(): void {
    const { clock, random } = this.#world
    const again = () => {
      clock.after(random.between(0, 200), () => {
        this.#write()
      })
    }
    if (this.#ended) return
    if (random.hit(0.2)) {
      this.read(again)
      return
    }
    const earlier = random.hit(0.15) ? random.pick(this.#taken) : undefined
    const order = earlier ?? this.#make()
    const lastMs = clock.nowMs + random.between(500, 5000)
    const send = (done: (answer: OperatorAnswer) => void) => {
      this.#attempt(order, done)
    }
    if (random.hit(0.2)) this.#until(lastMs, send, () => undefined)
    this.#until(lastMs, send, ({ status }) => {
      if (status === 412 && random.hit(0.4)) this.#until(lastMs, send, again)
      else if (status === 412) this.read(again)
      else again()
    })
  }

  #make(): Order {
    const { random } = this.#world
    this.#tags += 1
    const ifMatch = this.#known + (random.hit(0.1) ? 1 + random.below(2) : 0)
    return { tag: this.#tags, ifMatch, revision: ifMatch + 1 + random.below(2), patches: ifMatch > 0 && random.hit(0.4) }
  }

  /** Reads the network until there is an answer, and notes what was read. */
  read(done: () => void): void {
    const { clock, random, nodes, history } = this.#world
    let fromMs = clock.nowMs
    const send = (answered: (answer: OperatorAnswer) => void) => {
      fromMs = clock.nowMs
      const node = random.pick(nodes)
      if (node !== undefined) this.#world.ask(node, { action: 'network.get', ...noOrder }, answered)
    }
    this.#until(clock.nowMs + 20_000, send, ({ status, text }) => {
      if (status === 200 || status === 404) {
        const revision = status === 404 ? 0 : Number(/"revision":(\d+)/.exec(text)?.[1])
        const tag = status === 404 ? 0 : Number(/"connections":(\d+)/.exec(text)?.[1])
        history.reads.push({ tag, revision, fromMs, toMs: clock.nowMs })
        this.#known = Math.max(this.#known, revision)
      }
      done()
    })
  }

  /** The zone's one operator: a newer order is sent once the one before is acknowledged or given up. */
  #order(): void {
    const { clock, random, nodes } = this.#world
    if (this.#ended) return
    const empties = random.hit(0.5)
    const action = empties ? 'zone.empty' : 'zone.fill'
    this.#world.zoneOrdered = undefined
    const send = (done: (answer: OperatorAnswer) => void) => {
      const node = random.pick(nodes)
      this.#sent()
      if (node !== undefined) this.#world.ask(node, { action, ...noOrder, branch: 'a' }, done)
    }
    this.#until(clock.nowMs + random.between(300, 4000), send, ({ status }) => {
      if (status === 200) this.#world.zoneOrdered = empties
      if (status === 200) this.#acknowledged()
      clock.after(random.between(0, 600), () => {
        this.#order()
      })
    })
  }
}
