/**
 * Carries out the effects of simulated control nodes: messages, disk writes, operators' answers, and what they ask of
 * the platform and the servers.
 */
import type { ControlEffect } from '../control/ControlEffect.js'
import type { ControlInput } from '../control/ControlInput.js'
import type { SimControlNode } from './SimControlNode.js'
import type { SimOperators } from './SimOperators.js'
import { SimSabotage } from './SimSabotage.js'
import type { SimServerFleet } from './SimServerFleet.js'
import type { SimWorld } from './SimWorld.js'

type Write = Extract<ControlEffect, { kind: 'write' }>
type Ask = Extract<ControlEffect, { kind: 'ask' }>
type Order = Extract<ControlEffect, { kind: 'order' }>
type Reply = Extract<ControlInput, { kind: 'replied' }>['reply']

/** How long a server's refusal of a connection takes. */
const refusedMs = 2
const accepted = 202

export class SimControlEffects {
  readonly #world: SimWorld
  readonly #fleet: SimServerFleet
  readonly #operators: SimOperators
  readonly #sabotage: SimSabotage

  constructor(world: SimWorld, fleet: SimServerFleet, operators: SimOperators) {
    this.#world = world
    this.#fleet = fleet
    this.#operators = operators
    this.#sabotage = new SimSabotage(world.options.broken)
  }

  /** `life` is the life of the process that asked for the effect. */
  perform(node: SimControlNode, effect: ControlEffect, life: number): void {
    const { clock, random, network } = this.#world
    const { process } = node
    switch (effect.kind) {
      case 'send':
        network.send(process.name, process.host, node.address, effect.toAddress, effect.message)
        break
      case 'write':
        this.#write(node, effect, life)
        break
      case 'respond':
        this.#operators.responded(effect.id, effect.status, effect.stamp, effect.text)
        break
      case 'askPlatform': {
        const servers = this.#fleet.platformList()
        process.deliverLater(random.between(2, 40), { kind: 'platform', servers, askedMs: effect.askedMs }, life)
        break
      }
      case 'ask':
        this.#askServer(node, effect, life)
        break
      case 'order':
        this.#order(node, effect, life)
        break
      case 'say':
      case 'warn':
        clock.note(effect.sentence)
        break
    }
  }

  #write(node: SimControlNode, write: Write, life: number): void {
    const { process, disk } = node
    disk.write(write.records, write.rewrite, () => {
      if (process.life !== life) return
      for (const send of write.then) this.#world.network.send(process.name, process.host, node.address, send.toAddress, send.message)
      process.deliver({ kind: 'written' })
    })
  }

  #askServer({ process }: SimControlNode, { server: name, address, epoch, askedMs }: Ask, life: number): void {
    const { clock, random, timings } = this.#world
    const server = this.#fleet.serverAt(address, process.host)
    if (server?.state === undefined) {
      const waitMs = server === undefined ? refusedMs : timings.reportStaleMs / 2
      process.deliverLater(waitMs, { kind: 'reported', server: name, report: undefined, askedMs }, life)
      return
    }
    const report = server.nonsense ? undefined : this.#sabotage.report(server.state.report(epoch, clock.nowMs))
    const waitMs = random.between(1, 3) + server.lagMs * random.between(0.5, 1.5)
    process.deliverLater(waitMs, { kind: 'reported', server: name, report, askedMs }, life)
  }

  /** An order, or its reply, may be lost on the way. */
  #order({ process }: SimControlNode, { server: name, address, order }: Order, life: number): void {
    const { clock, random, timings } = this.#world
    const server = this.#fleet.serverAt(address, process.host)
    const reply = (kind: Reply, waitMs: number) => {
      process.deliverLater(waitMs, { kind: 'replied', server: name, epoch: order.epoch, number: order.number, reply: kind }, life)
    }
    if (server === undefined || random.hit(server.orderLoss / 2)) {
      reply('unknown', timings.reportStaleMs)
      return
    }
    clock.after(random.between(1, 5) + server.orderSlowMs * random.next(), () => {
      if (server.state === undefined || server.address !== address) return
      const status = server.state.take(order, clock.nowMs)
      if (!random.hit(server.orderLoss / 2)) reply(status === accepted ? 'accepted' : 'turnedAway', random.between(1, 5))
    })
  }
}
