/**
 * What befalls the core of a model run: nodes that are cut off, lose their power or their disk, and a leader
 * lost right after it acknowledged an order or was sent one.
 */
import type { OrderWorld } from './OrderWorld.js'

export class OrderTroubles {
  readonly #world: OrderWorld
  readonly #endMs: number
  #busyUntilMs = 1500
  #wiped = false

  constructor(world: OrderWorld, endMs: number) {
    this.#world = world
    this.#endMs = endMs
    this.#next()
  }

  get #free(): boolean {
    const { nowMs } = this.#world.clock
    return nowMs >= this.#busyUntilMs && nowMs < this.#endMs
  }

  #next(): void {
    const { clock, random } = this.#world
    if (clock.nowMs >= this.#endMs) return
    if (this.#free) this.#any()
    clock.after(random.between(200, 1500), () => {
      this.#next()
    })
  }

  /** The leader is lost soon after an order was sent, or right after it was acknowledged. */
  atOrder(afterMs: number, probability: number): void {
    const { clock, random } = this.#world
    if (!this.#free || !random.hit(probability)) return
    clock.after(afterMs, () => {
      const { leader } = this.#world
      if (leader !== undefined && this.#free) this.#restart(leader)
    })
  }

  #restart(node: OrderWorld['nodes'][number]): void {
    const { clock, random } = this.#world
    this.#world.kill(node)
    clock.after(random.between(30, 1200), () => {
      this.#world.start(node)
    })
  }

  #any(): void {
    const { random, nodes } = this.#world
    const node = random.pick(nodes)
    if (node === undefined) return
    const kind = random.below(6)
    if (kind === 0) for (const one of nodes) this.#restart(one)
    else if (kind === 1) this.#restart(node)
    else if (kind === 2) this.#wipe(node)
    else this.#cut(node, kind)
  }

  /** Both ways, or one way, a node from the others. */
  #cut(node: OrderWorld['nodes'][number], kind: number): void {
    const { random, nodes } = this.#world
    const spanMs = random.between(100, 2500)
    for (const other of nodes) {
      if (other === node) continue
      if (kind !== 3) this.#world.cut(node, other, spanMs)
      if (kind !== 4) this.#world.cut(other, node, spanMs)
    }
  }

  /** A disk is lost once, in a time without other troubles, and nothing else befalls until it has its vote again. */
  #wipe(node: OrderWorld['nodes'][number]): void {
    const { clock, nodes } = this.#world
    const whole = nodes.every(({ machine }) => machine?.raft.commit === this.#world.leader?.machine?.raft.commit)
    if (this.#wiped || !whole) return
    this.#wiped = true
    this.#busyUntilMs = Infinity
    this.#world.heal()
    this.#world.kill(node)
    node.disk.lose()
    this.#world.start(node)
    const wait = () => {
      const identity = node.machine?.raft.identity
      const voters = this.#world.leader?.machine?.raft.members.filter((one) => one.voter) ?? []
      if (voters.length === nodes.length && voters.some((one) => one.identity === identity)) this.#busyUntilMs = clock.nowMs + 500
      else clock.after(200, wait)
    }
    clock.after(200, wait)
  }
}
