/**
 * One seeded history of operators' orders: troubles come while orders are under way, then all is mended and
 * the network is read back. Returns what the judge finds, and how much was sent and acknowledged.
 */
import { judgeOrders } from './judgeOrders.js'
import { OrderCallers } from './OrderCallers.js'
import type { OrderSabotage } from './OrderSabotage.js'
import type { OrdersRun } from './OrdersRun.js'
import { OrderTroubles } from './OrderTroubles.js'
import { OrderWorld } from './OrderWorld.js'

const troubleMs = 7000
const mendedMs = 24_000

export function runOrders(seed: number, sabotage: OrderSabotage = {}): OrdersRun {
  const world = new OrderWorld(seed, sabotage)
  const { clock, random, history } = world
  world.lossRatio = random.hit(0.1) ? 0.9 : random.between(0, 0.4)
  const troubles = new OrderTroubles(world, troubleMs)
  const callers = new OrderCallers(
    world,
    troubleMs + 500,
    () => {
      troubles.atOrder(random.between(5, 400), 0.05)
    },
    () => {
      troubles.atOrder(4, 0.15)
    },
  )
  let readBack = false
  clock.at(troubleMs, () => {
    world.heal()
    world.lossRatio = 0
    for (const node of world.nodes) world.start(node)
  })
  clock.at(troubleMs + 8000, () => {
    callers.read(() => {
      readBack = true
    })
  })
  while (!readBack && clock.nowMs < mendedMs && clock.turn());
  const defects = judgeOrders(history)
  if (!readBack) defects.push('the network is not read back')
  const count = (status: number) => history.attempts.filter((one) => one.status === status).length
  return {
    defects,
    attempts: history.attempts.length,
    acknowledged: count(200),
    refused: count(412) + count(422),
    reads: history.reads.length,
  }
}
