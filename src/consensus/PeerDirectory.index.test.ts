import { test } from 'node:test'
import { deepStrictEqual, ok } from 'node:assert'
import type { Role } from '../common/Role.js'
import { Random } from '../common/Random.js'
import { PeerDirectory } from './PeerDirectory.js'

const staleMs = 100
const toldAtOnce = 4
interface Told {
  name: string
  address: string
  role: Role
  zone: string
  identity: string
}

/** What the directory is to know, found by a look at all peers. */
class Model {
  readonly peers = new Map<string, Told & { heardMs: number }>()

  hearsay(peer: Omit<Told, 'identity'>, nowMs: number): void {
    const old = this.peers.get(peer.name)
    if (peer.name === 'me' || (old !== undefined && nowMs - old.heardMs <= staleMs)) return
    this.peers.set(peer.name, { ...peer, identity: old?.identity ?? '', heardMs: old?.heardMs ?? -Infinity })
  }

  names(role: Role): string[] {
    return [...this.peers.values()]
      .filter((peer) => peer.role === role)
      .map((peer) => peer.name)
      .sort()
  }
}

test('random words of peers and of others about them leave what a look at all peers finds', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const random = new Random(seed)
    const directory = new PeerDirectory('me', [], staleMs)
    const model = new Model()
    for (let nowMs = 0; nowMs < 2000; nowMs += 5) {
      const at = random.below(14)
      const name = at === 13 ? 'me' : `n-${String(at)}`
      const role = random.hit(0.02) ? 'agent' : at < 4 ? 'control' : 'agent'
      const peer = { name, address: `10.0.0.${String(random.below(9))}:7`, role, zone: 'a' } as const
      const identity = `${name}.${String(random.below(3))}`
      if (random.hit(0.5)) {
        directory.heard({ ...peer, identity, empty: false }, nowMs)
        if (name !== 'me') model.peers.set(name, { ...peer, identity, heardMs: nowMs })
      } else {
        directory.hearsay([peer], nowMs)
        model.hearsay(peer, nowMs)
      }
      for (const one of ['control', 'agent'] as const)
        deepStrictEqual(
          directory.of(one).map((found) => found.name),
          model.names(one),
        )
      for (const one of model.peers.values()) if (one.identity !== '') deepStrictEqual(directory.addressOf(one.identity), one.address)
      deepStrictEqual(directory.addressOf(`${name}.gone`), undefined)
      const known = directory.known.map((found) => found.name)
      const controls = model.names('control')
      deepStrictEqual(known.slice(0, controls.length), controls)
      const rest = known.slice(controls.length)
      ok(rest.every((found) => model.peers.get(found)?.role === 'agent'))
      deepStrictEqual(rest.length, Math.min(toldAtOnce, model.peers.size - controls.length))
    }
  }
})

test('an identity that a peer gave up leads nowhere, and every peer is told of in turn', () => {
  const directory = new PeerDirectory('me', [], staleMs)
  const peer = { name: 'c', address: '1', role: 'control', zone: 'a', empty: false } as const
  directory.heard({ ...peer, identity: 'old' }, 0)
  directory.heard({ ...peer, identity: 'new' }, 1)
  deepStrictEqual([directory.addressOf('old'), directory.addressOf('new')], [undefined, '1'])
  for (let at = 0; at < 40; at++)
    directory.heard({ name: `n-${String(at)}`, address: '2', role: 'agent', zone: 'a', identity: '', empty: false }, 2)
  const told = new Set(Array.from({ length: 10 }, () => directory.known).flatMap((known) => known.map((one) => one.name)))
  deepStrictEqual(told.size, 41)
})
