/**
 * The time from the start of an empty control node to its vote, after a loss: until then the node counts as lost, and no
 * other loss need be borne. Idle and under a change every 80 ms, with a slow disk, over a slow link, and with the leader
 * gone too. The table is printed as a diagnostic.
 */
import { ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Bounds } from '../common/Bounds.js'
import { Random } from '../common/Random.js'
import { Timings } from '../common/Timings.js'
import { CoreTestWorld } from './CoreTestWorld.js'

const timings = Timings(Bounds.parse({}))
const syncMs = timings.recoverMs / 3
const changeEachMs = 80
const routes = 750
const slowLinkBytesPerMs = 875
const slowDiskMs = 60
const limits = { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 }
const route = (at: number, timeoutMs: number) => ({
  name: `r-${String(at)}`,
  host: 'example',
  prefix: `/${String(at)}/`,
  kind: 'repeatable',
  timeoutMs,
  services: [{ service: 's', weight: 1 }],
  more: { sent: 'x'.repeat(300) },
})

class Group {
  readonly world = new CoreTestWorld()
  #revision = 0
  #changeAtMs = 0

  constructor(seed: number, voters: number, slowDisk: boolean, slowLink: boolean) {
    const { world } = this
    world.targetVoters = voters
    world.rewriteBytes = 200_000
    world.three()
    for (let at = 4; at <= voters; at++) world.start(`box-${String(at)}`, `10.0.0.${String(at)}:7`, false)
    ok(world.run(8000, () => world.voters.length === voters))
    world.ask(world.led(), 'whole', {
      action: 'network.put',
      operation: 'whole',
      text: JSON.stringify({
        revision: 1,
        routes: Array.from({ length: routes }, (_, at) => route(at, 1000)),
        services: [{ name: 's', connections: 1 }],
        limits,
      }),
      ifMatch: 0,
    })
    strictEqual(world.answered('whole').status, 200)
    this.#revision = 1
    const random = new Random(seed)
    world.delays = { random, messageMs: 3, syncMs: slowDisk ? slowDiskMs : 2, ...(slowLink ? { bytesPerMs: slowLinkBytesPerMs } : {}) }
  }

  /** Runs with a change of one route each 80 ms, where there is a load. */
  run(spanMs: number, load: boolean, until: () => boolean = () => false): boolean {
    const { world } = this
    for (const endMs = world.nowMs + spanMs; world.nowMs < endMs;) {
      if (until()) return true
      if (load && world.nowMs >= this.#changeAtMs && world.leader !== undefined) {
        this.#changeAtMs = world.nowMs + changeEachMs
        const revision = Math.max(this.#revision, world.leader[1].machine.replicatedState.network?.revision ?? 0)
        const text = JSON.stringify({
          revision: revision + 1,
          set: { routes: [route(revision % routes, 1000 + revision)] },
          drop: {},
        })
        const id = `change-${String(world.nowMs)}`
        world.ask(world.leader[0], id, { action: 'network.patch', operation: id, text, ifMatch: revision })
        this.#revision = revision
      }
      world.run(timings.tickMs)
    }
    return until()
  }
}

test('an empty control node has its vote well before it counts as back, whatever goes on', (context) => {
  for (const voters of [3, 5])
    for (const lost of ['follower', 'leader'])
      for (const load of [false, true])
        for (const slowDisk of [false, true])
          for (const slowLink of [false, true]) {
            let worstMs = 0
            for (const seed of [1, 2]) {
              const group = new Group(seed, voters, slowDisk, slowLink)
              const { world } = group
              group.run(2000, load)
              const leader = world.led()
              const gone = lost === 'leader' ? leader : ([...world.boxes.keys()].find((name) => name !== leader) ?? '')
              world.power(gone)
              const newcomer = world.start('new', '10.0.1.1:7', false)
              const startedMs = world.nowMs
              const votes = () =>
                world.leader?.[1].machine.raft.members.some((one) => one.voter && one.identity === newcomer.machine.raft.identity) ===
                  true && world.leader[1].machine.raft.changing === false
              ok(group.run(syncMs, load, votes), `${String(voters)} voters, ${lost} lost, seed ${String(seed)}: no vote in time`)
              strictEqual(world.voters.length, voters)
              worstMs = Math.max(worstMs, world.nowMs - startedMs)
            }
            const what = `${String(voters)} voters, ${lost} lost${load ? ', load' : ''}${slowDisk ? ', slow disk' : ''}${slowLink ? ', slow link' : ''}`
            context.diagnostic(`${what}: ${String(Math.round(worstMs))} ms`)
            ok(worstMs < 0.9 * syncMs, `${what}: ${String(Math.round(worstMs))} ms`)
          }
})
