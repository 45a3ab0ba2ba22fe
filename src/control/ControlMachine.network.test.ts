/**
 * Core machines of a network, with disks that sync at once and transports that lose nothing: founding,
 * machines that are replaced or wiped, and writes that wait for those who must adopt them.
 */
import { deepStrictEqual, notStrictEqual, ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Bounds } from '../common/Bounds.js'
import { Network } from '../common/Network.js'
import { Random } from '../common/Random.js'
import { Timings } from '../common/Timings.js'
import { CoreTestWorld } from './CoreTestWorld.js'

const timings = Timings(Bounds.parse({}))
const limits = { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 }
const network = (revision: number) => JSON.stringify({ revision, routes: [], services: [{ name: 's', connections: 1 }], limits })

void test('the lowest seed founds once all are there, the leader dispatches, and nobody founds without being told', () => {
  const world = new CoreTestWorld()
  world.start('box-1', '10.0.0.1:7', true)
  world.start('box-2', '10.0.0.2:7', true)
  strictEqual(
    world.run(3000, () => world.leader !== undefined),
    false,
  )
  world.start('box-3', '10.0.0.3:7', true)
  const leader = world.led()
  deepStrictEqual(world.voters, ['box-1', 'box-2', 'box-3'])
  ok(world.run(2000, () => world.boxes.get(leader)?.machine.dispatcher !== undefined))
  const untold = new CoreTestWorld()
  untold.three(false)
  strictEqual(
    untold.run(5000, () => untold.leader !== undefined),
    false,
  )
})

void test('one seed founds alone', () => {
  const world = new CoreTestWorld()
  world.seeds = ['10.0.0.1:7']
  world.start('box-1', '10.0.0.1:7', true)
  strictEqual(world.led(), 'box-1')
  world.ask('box-1', 'get', { action: 'network.get' })
  strictEqual(world.answered('get').status, 404)
})

void test('an empty machine elsewhere takes the place of one that is gone, also of the leader, time and again', () => {
  const world = new CoreTestWorld()
  world.three()
  for (let round = 0; round < 6; round++) {
    const leader = world.led()
    const gone = round % 2 === 0 ? leader : ([...world.boxes.keys()].find((name) => name !== leader) ?? '')
    world.ask(leader, `put-${String(round)}`, {
      action: 'network.put',
      operation: `o${String(round)}`,
      text: network(round + 1),
      ifMatch: round,
    })
    strictEqual(world.answered(`put-${String(round)}`).status, 200)
    const seat = world.seeds.indexOf(world.boxes.get(gone)?.address ?? '')
    world.boxes.delete(gone)
    world.seeds = world.seeds.map((seed, at) => (at === seat ? `10.0.1.${String(round)}:7` : seed))
    world.start(`new-${String(round)}`, `10.0.1.${String(round)}:7`, false)
    const wanted = [...world.boxes.keys()].sort()
    ok(
      world.run(10_000, () => JSON.stringify(world.voters) === JSON.stringify(wanted)),
      `round ${String(round)}: ${world.voters.join()}`,
    )
    const now = world.leader
    ok(world.run(4000, () => now?.[1].machine.dispatcher !== undefined))
    const [first] = [...world.boxes.keys()]
    world.ask(first ?? '', `get-${String(round)}`, { action: 'network.get' })
    const read = Network.check(JSON.parse(world.answered(`get-${String(round)}`).text), 0)
    strictEqual(read.map((one) => one.revision).orDefault(0), round + 1)
  }
})

void test('a wiped machine returns under its name, and one with its disk under its identity, elsewhere and with other seeds', () => {
  const world = new CoreTestWorld()
  world.three()
  const leader = world.led()
  const [wiped = '', kept = ''] = [...world.boxes.keys()].filter((name) => name !== leader)
  const before = world.boxes.get(wiped)
  world.boxes.delete(wiped)
  world.run(2000)
  const again = world.start(wiped, before?.address ?? '', true)
  const { identity } = again.machine.raft
  notStrictEqual(identity, before?.machine.raft.identity)
  const voter = (wanted: string) => () =>
    world.leader?.[1].machine.raft.members.some((one) => one.voter && one.identity === wanted) === true && world.voters.length === 3
  ok(world.run(10_000, voter(identity)))
  const old = world.boxes.get(kept)
  world.boxes.delete(kept)
  world.run(2000)
  world.seeds = ['10.9.9.9:7']
  const back = world.start(kept, '10.0.2.1:7', false, old?.disk ?? [])
  strictEqual(back.machine.raft.identity, old?.machine.raft.identity)
  ok(world.run(4000, () => back.machine.raft.leader !== '' && back.machine.raft.commit === world.leader?.[1].machine.raft.commit))
  strictEqual(world.voters.length, 3)
})

void test('a fourth node stands by, and takes the place of a voter that falls silent; of three none is given up', () => {
  const world = new CoreTestWorld()
  world.three()
  const leader = world.led()
  world.start('box-4', '10.0.0.4:7', false)
  const standsBy = () => world.leader?.[1].machine.raft.members.some((one) => one.seat === 'box-4' && !one.voter) === true
  ok(world.run(5000, standsBy))
  world.run(5000)
  deepStrictEqual(world.voters, ['box-1', 'box-2', 'box-3'])
  const lost = [...world.boxes.keys()].find((name) => name !== leader && name !== 'box-4') ?? ''
  world.boxes.delete(lost)
  ok(world.run(0.25 * timings.recoverMs, () => world.voters.includes('box-4') && !world.voters.includes(lost)))
  strictEqual(world.voters.length, 3)
  world.boxes.delete([...world.boxes.keys()].find((name) => name !== world.led()) ?? '')
  world.run(3 * timings.memberGoneMs)
  strictEqual(world.voters.length, 3)
})

void test('of more voters than must be borne, one that stays silent is given up', () => {
  const world = new CoreTestWorld()
  world.three()
  world.led()
  world.start('box-4', '10.0.0.4:7', false)
  world.start('box-5', '10.0.0.5:7', false)
  ok(world.run(5000, () => world.voters.length === 5))
  const lost = [...world.boxes.keys()].find((name) => name !== world.led()) ?? ''
  world.boxes.delete(lost)
  strictEqual(
    world.run(1.5 * timings.electionMs, () => world.voters.length < 5),
    false,
  )
  ok(world.run(timings.memberGoneMs, () => world.voters.length === 4 && !world.voters.includes(lost)))
})

const syncMs = timings.recoverMs / 3

/** Every voter that is in force is running, and the group has its size again. */
function whole(world: CoreTestWorld): boolean {
  return (
    world.leader !== undefined &&
    world.voters.length === world.targetVoters &&
    (world.leader[1].machine.raft.members ?? []).every(
      (one) => !one.voter || world.boxes.get(one.seat)?.machine.raft.identity === one.identity,
    )
  )
}

void test('a second loss after a replacement has had its time is borne, whoever was lost and however it was planned', () => {
  for (const targetVoters of [3, 5])
    for (const planned of [false, true])
      for (const first of ['leader', 'follower'])
        for (const second of ['leader', 'follower', 'newcomer'])
          for (const delayMs of [0, 200, 1000]) {
            const what = `${String(targetVoters)} voters, planned ${String(planned)}, ${first} then ${second}, ${String(delayMs)} ms`
            const world = new CoreTestWorld()
            world.targetVoters = targetVoters
            world.three()
            world.led()
            for (let at = 4; at <= targetVoters; at++) world.start(`box-${String(at)}`, `10.0.0.${String(at)}:7`, false)
            ok(
              world.run(5000, () => whole(world)),
              `${what}: founded`,
            )
            const pick = (who: string) =>
              who === 'leader' ? world.led() : ([...world.boxes.keys()].find((name) => name !== world.led()) ?? '')
            const gone = pick(first)
            if (planned) {
              world.start('new', '10.0.1.1:7', false)
              world.run(delayMs)
              world.boxes.delete(gone)
            } else {
              world.boxes.delete(gone)
              world.run(delayMs)
              world.start('new', '10.0.1.1:7', false)
            }
            ok(
              world.run(0.9 * syncMs - (planned ? delayMs : 0), () => whole(world)),
              `${what}: not whole again`,
            )
            const again = second === 'newcomer' ? 'new' : pick(second)
            world.boxes.delete(again)
            if (targetVoters === 5) world.boxes.delete([...world.boxes.keys()].find((name) => name !== again) ?? '')
            const leader = world.led()
            world.ask(leader, 'put', { action: 'network.put', operation: 'o', text: network(1), ifMatch: 0 })
            strictEqual(world.answered('put').status, 200, what)
          }
})

void test('a newcomer lost midway leaves the group able to go on, at every moment of its joining', () => {
  for (let lostAfterMs = 0; lostAfterMs < 0.6 * syncMs; lostAfterMs += 100) {
    const world = new CoreTestWorld()
    world.three()
    const leader = world.led()
    const gone = [...world.boxes.keys()].find((name) => name !== leader) ?? ''
    world.boxes.delete(gone)
    world.start('new-1', '10.0.1.1:7', false)
    world.run(lostAfterMs)
    world.boxes.delete('new-1')
    world.start('new-2', '10.0.1.2:7', false)
    ok(
      world.run(syncMs, () => whole(world)),
      `lost after ${String(lostAfterMs)} ms`,
    )
  }
})

void test('a leader that is stopped hands over at once, and a stand-in takes its vote before it goes', () => {
  for (const standIn of [false, true]) {
    const world = new CoreTestWorld()
    world.three()
    const leader = world.led()
    const leaving = world.boxes.get(leader)?.machine
    if (standIn) world.start('new', '10.0.1.1:7', false)
    world.run(1000)
    leaving?.leave(world.nowMs)
    ok(world.run(0.9 * timings.leaveMs, () => leaving?.mayStop === true))
    notStrictEqual(world.led(), leader)
    world.boxes.delete(leader)
    ok(world.run(timings.electionMs, () => world.leader !== undefined))
    strictEqual(world.voters.includes(leader), !standIn)
    if (standIn) ok(world.run(timings.electionMs, () => whole(world)))
  }
})

void test('leadership is handed over at once also while changes keep coming, and a node that left is not taken in again', () => {
  for (const changesEachTick of [0, 1, 5])
    for (let seed = 1; seed <= 5; seed++) {
      const world = new CoreTestWorld()
      world.targetVoters = 5
      world.three()
      for (const at of [4, 5]) world.start(`box-${String(at)}`, `10.0.0.${String(at)}:7`, false)
      ok(world.run(5000, () => whole(world)))
      world.start('new', '10.0.1.1:7', false)
      world.run(1000)
      world.delays = { random: new Random(seed), messageMs: 2, syncMs: 5 }
      const leader = world.led()
      const leaving = world.boxes.get(leader)?.machine
      let asks = 0
      const change = () => {
        for (let at = 0; at < changesEachTick; at++) {
          asks += 1
          world.ask(leader, `change-${String(asks)}`, { action: 'zone.empty', branch: `z-${String(asks)}` })
        }
      }
      for (let tick = 0; tick < 20; tick++) {
        change()
        world.run(timings.tickMs)
      }
      leaving?.leave(world.nowMs)
      const fromMs = world.nowMs
      while (world.nowMs - fromMs < 2 * timings.electionMs && (world.leader === undefined || world.leader[0] === leader)) {
        change()
        world.run(timings.tickMs)
      }
      const tookMs = world.nowMs - fromMs
      ok(tookMs < 0.35 * timings.electionMs, `${String(changesEachTick)} changes a tick, seed ${String(seed)}: ${String(tookMs)} ms`)
      ok(world.run(timings.leaveMs, () => leaving?.mayStop === true))
      world.boxes.delete(leader)
      ok(world.run(timings.electionMs, () => whole(world)))
      const back = () => world.leader?.[1].machine.raft.members.some((one) => one.seat === leader) === true
      strictEqual(world.run(2 * timings.memberGoneMs, back), false)
    }
})

void test('a founder that is killed before it founded may found in its next life, also when it is told otherwise then', () => {
  const world = new CoreTestWorld()
  const first = world.start('box-1', world.seeds[0] ?? '', true)
  world.run(1000)
  world.boxes.delete('box-1')
  world.start('box-2', world.seeds[1] ?? '', true)
  world.start('box-3', world.seeds[2] ?? '', true)
  world.run(1000)
  const { seeds } = world
  world.seeds = ['10.0.0.3:7', '10.9.9.9:7']
  world.start('box-1', seeds[0] ?? '', false, first.disk)
  strictEqual(world.led(), 'box-1')
})

const manyRoutes = (revision: number) =>
  JSON.stringify({
    revision,
    routes: Array.from({ length: 1500 }, (_, at) => ({
      name: `r-${String(at)}`,
      host: 'h',
      prefix: `/${String(at)}/`,
      kind: 'repeatable',
      timeoutMs: 1000 + (at === 0 ? revision : 0),
      services: [{ service: 's', weight: 1 }],
    })),
    services: [{ name: 's', connections: 1 }],
    limits,
  })
const oneRoute = (revision: number) =>
  JSON.stringify({
    revision,
    set: {
      routes: [
        { name: 'r-0', host: 'h', prefix: '/0/', kind: 'repeatable', timeoutMs: 1000 + revision, services: [{ service: 's', weight: 1 }] },
      ],
    },
    drop: {},
  })

void test('a node that was away for hundreds of changes, or is empty, catches up by chunks, and none is sent twice', () => {
  for (const changes of [300, 3000])
    for (const empty of [false, true]) {
      const world = new CoreTestWorld()
      world.rewriteBytes = 30_000
      world.three()
      const leader = world.led()
      const away = [...world.boxes.keys()].find((name) => name !== leader) ?? ''
      const before = world.boxes.get(away)
      world.ask(leader, 'put', { action: 'network.put', operation: 'o', text: manyRoutes(1), ifMatch: 0 })
      strictEqual(world.answered('put').status, 200)
      world.boxes.delete(away)
      for (let revision = 2; revision <= changes; revision++) {
        const id = `patch-${String(revision)}`
        world.ask(leader, id, { action: 'network.patch', operation: id, text: oneRoute(revision), ifMatch: revision - 1 })
        if (revision % 100 === 0) strictEqual(world.answered(id).status, 200)
      }
      const chunks: string[] = []
      let largest = 0
      world.watch = (message) => {
        if (message.kind === 'installSnapshot') {
          chunks.push(`${String(message.index)} ${String(message.offset)}`)
          largest = Math.max(largest, message.state.length)
        } else if (message.kind === 'appendEntries')
          largest = Math.max(
            largest,
            message.entries.slice(1).reduce((sum, one) => sum + one.bytes.length, 0),
          )
      }
      const back = world.start(away, before?.address ?? '', false, empty ? [] : before?.disk)
      const level = () => back.machine.raft.commit === world.leader?.[1].machine.raft.commit && world.voters.includes(away)
      ok(world.run(0.5 * syncMs, level), `${String(changes)} changes, empty ${String(empty)}`)
      strictEqual(back.machine.replicatedState.network?.revision, changes)
      ok(chunks.length > 1, 'no chunks')
      strictEqual(new Set(chunks).size, chunks.length)
      ok(largest <= 2 * 128 * 1024, String(largest))
    }
})

void test('any machine takes writes; guards, errors and repeats are answered, and waits end', () => {
  const world = new CoreTestWorld()
  world.three()
  const leader = world.led()
  const other = [...world.boxes.keys()].find((name) => name !== leader) ?? ''
  const put = (name: string, id: string, operation: string, text: string, ifMatch = -1) => {
    world.ask(name, id, { action: 'network.put', operation, text, ifMatch })
    return world.answered(id)
  }
  strictEqual(put(other, 'a', 'second', network(2), 1).status, 412)
  strictEqual(put(other, 'b', 'first', network(1), 0).status, 200)
  const late = put(leader, 'c', 'second', network(2), 1)
  strictEqual(late.status, 200)
  strictEqual(put(other, 'd', 'second', network(2), 1).stamp, late.stamp)
  strictEqual(put(leader, 'e', 'third', '{"revision":0}').status, 422)
  strictEqual(put(leader, 'f', 'third', '{').status, 422)
  world.ask(other, 'g', { action: 'zone.empty', branch: 'z' })
  const emptied = world.answered('g')
  world.ask(leader, 'h', { action: 'zone.empty', branch: 'z' })
  deepStrictEqual([emptied.status, world.answered('h').stamp], [200, emptied.stamp])
  world.boxes.delete(other)
  world.boxes.delete([...world.boxes.keys()].find((name) => name !== leader) ?? '')
  world.ask(leader, 'i', { action: 'network.put', operation: 'cut', text: network(9) })
  strictEqual(world.answered('i', 2 * timings.operateMs).status, 504)
})

void test('a write waits for a machine with a lease that has not adopted it, but not for long', () => {
  const world = new CoreTestWorld()
  world.three()
  const leader = world.led()
  const address = world.boxes.get(leader)?.address ?? ''
  let stamp = 0
  world.run(3000)
  const leases: number[] = []
  let newest: { leaseTerm?: number; leaseGrantedMs?: number } = {}
  world.heard.set('edge:7', (message) => {
    if (message.kind !== 'lease') return
    leases.push(message.forMs, message.peers.length)
    if (message.term !== undefined && message.grantedMs !== undefined)
      newest = { leaseTerm: message.term, leaseGrantedMs: message.grantedMs }
  })
  const renew = () => {
    world.tell('edge', 'edge:7', address, {
      kind: 'renew',
      seat: 'edge',
      role: 'agent',
      zone: 'z',
      session: 's',
      sentMs: world.nowMs,
      adopted: stamp,
      asks: [],
      echo: 0,
      again: [],
      firsts: [],
      peersSum: 0,
      ...newest,
    })
  }
  renew()
  deepStrictEqual(leases, [timings.leaseMs, 1])
  world.ask(leader, 'a', { action: 'network.put', operation: 'a', text: network(1) })
  world.run(200)
  strictEqual(world.responses.has('a'), false)
  stamp = 1e9
  renew()
  strictEqual(world.responses.get('a')?.status, 200)
  stamp = 0
  renew()
  world.ask(leader, 'b', { action: 'network.put', operation: 'b', text: network(2) })
  const sentMs = world.nowMs
  strictEqual(world.answered('b').status, 200)
  ok(world.nowMs - sentMs >= timings.deliverMs && world.nowMs - sentMs < timings.deliverMs + 200, String(world.nowMs - sentMs))
})

/** Takes all machines but one away, as a cut does; gives what brings them back. */
function cutOff(world: CoreTestWorld, kept: string): () => void {
  const others = [...world.boxes].filter(([name]) => name !== kept)
  for (const [name] of others) world.boxes.delete(name)
  return () => {
    for (const [name, box] of others) world.boxes.set(name, box)
  }
}
const patience = { waitMs: 800, leaderMs: 400 }

void test('a machine that hears no leader leaves every request undecided soon, refuses none, and passes none on later', () => {
  const world = new CoreTestWorld()
  world.three()
  const leader = world.led()
  world.ask(leader, 'first', { action: 'network.put', operation: 'first', text: network(1), ifMatch: 0 })
  strictEqual(world.answered('first').status, 200)
  const other = [...world.boxes.keys()].find((name) => name !== leader) ?? ''
  for (const kept of [other, leader]) {
    const heal = cutOff(world, kept)
    const ids = ['stale', 'invalid', 'zone', 'read'].map((what) => `${kept} ${what}`)
    const [stale = '', invalid = '', zone = '', read = ''] = ids
    const sentMs = world.nowMs
    world.ask(kept, stale, { action: 'network.put', operation: 'stale', text: network(9), ifMatch: 0, ...patience })
    world.ask(kept, invalid, { action: 'network.put', operation: 'invalid', text: '{', ifMatch: 1, ...patience })
    world.ask(kept, zone, { action: 'zone.empty', branch: 'z', ...patience })
    world.ask(kept, read, { action: 'network.get', ...patience })
    for (const id of ids) strictEqual(world.answered(id).status, 504, id)
    ok(world.nowMs - sentMs <= patience.waitMs + timings.tickMs)
    const cutMs = world.nowMs + 4 * timings.electionMs
    world.run(4 * timings.electionMs)
    world.ask(kept, `${kept} late`, { action: 'zone.empty', branch: 'late', ...patience })
    strictEqual(world.answered(`${kept} late`).status, 504)
    ok(world.nowMs - cutMs <= patience.leaderMs + timings.tickMs, 'no leader was heard for long, so it need not wait long')
    world.ask(kept, `${kept} given up`, { action: 'zone.empty', branch: 'given up', ...patience })
    world.cancel(kept, `${kept} given up`)
    heal()
    world.led()
    world.run(2000)
    strictEqual(world.responses.has(`${kept} given up`), false)
    for (const box of world.boxes.values())
      deepStrictEqual(
        ['late', 'given up'].map((at) => box.machine.replicatedState.copy.get(`zone/${at}`)),
        [undefined, undefined],
      )
  }
})

void test('an evacuation that is sent again waits for the machines that must adopt the first, no longer', () => {
  const world = new CoreTestWorld()
  world.three()
  const leader = world.led()
  world.run(3000)
  const other = [...world.boxes.keys()].find((name) => name !== leader) ?? ''
  world.heard.set('edge:7', () => undefined)
  world.tell('edge', 'edge:7', world.boxes.get(leader)?.address ?? '', {
    kind: 'renew',
    seat: 'edge',
    role: 'agent',
    zone: 'z',
    session: 's',
    sentMs: world.nowMs,
    adopted: 0,
    asks: [],
    echo: 0,
    again: [],
    firsts: [],
    peersSum: 0,
  })
  const sentMs = world.nowMs
  const waitMs = timings.deliverMs / 2
  world.ask(leader, 'a', { action: 'zone.empty', branch: 'z', waitMs })
  strictEqual(world.answered('a').status, 504)
  world.ask(other, 'b', { action: 'zone.empty', branch: 'z', waitMs: 2 * waitMs })
  strictEqual(world.answered('b').status, 200)
  ok(world.nowMs - sentMs < timings.deliverMs + 200, String(world.nowMs - sentMs))
})

void test('requests of the same content are both acknowledged, and an answer for another life is no answer', () => {
  const world = new CoreTestWorld()
  world.three()
  const leader = world.led()
  const [other = '', third = ''] = [...world.boxes.keys()].filter((name) => name !== leader)
  const put = { action: 'network.put' as const, operation: 'same', text: network(1), ifMatch: 0 }
  world.ask(other, 'a', put)
  world.ask(third, 'b', put)
  deepStrictEqual([world.answered('a').status, world.answered('b').status], [200, 200])
  const box = world.boxes.get(other)
  const identity = box?.machine.raft.identity ?? ''
  const heal = cutOff(world, other)
  world.ask(other, 'c', { action: 'network.get', ...patience })
  for (const id of ['c', `${identity}/c`, `${identity}/0/c`])
    world.tell(leader, '10.0.0.9:7', box?.address ?? '', { kind: 'operated', id, status: 404, stamp: 0, text: '{}' })
  strictEqual(world.responses.has('c'), false)
  heal()
})
