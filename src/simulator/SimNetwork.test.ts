import { test } from 'node:test'
import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { Random as Chances } from '../common/Random.js'
import type { Transport } from '../transport/Transport.js'
import { transportContract } from '../transport/transportContract.js'
import { SimClock } from './SimClock.js'
import { SimNetwork } from './SimNetwork.js'

test('passes the contract of transports', async () => {
  const clock = new SimClock()
  const network = new SimNetwork(clock, new Chances(1), 1000)
  await transportContract(
    (name) => {
      const address = `10.0.0.1:${String(name.charCodeAt(0))}`
      const listeners: Parameters<SimNetwork['open']>[2][] = []
      network.open(address, name, (from, fromAddress, message) => {
        for (const listener of listeners) listener(from, fromAddress, message)
      })
      const transport: Transport = {
        address,
        cluster: '',
        figures: {},
        send: (toAddress, message) => {
          network.send(name, name, address, toAddress, message)
        },
        hear: (listener) => {
          listeners.push(listener)
        },
        close: () => {
          network.close(address)
          return Promise.resolve()
        },
      }
      return Promise.resolve(transport)
    },
    (ready) => {
      while (!ready() && clock.turn());
      return Promise.resolve()
    },
  )
})

/** What is heard over a network with hosts `a` and `b`, of messages that `a` sends every 100 ms, by the times of sending. */
function heard(resets: boolean, cutMs: number, direction: 'there' | 'back'): { sentMs: number; atMs: number }[] {
  const clock = new SimClock()
  const network = new SimNetwork(clock, new Chances(1), 1000)
  network.resets = resets
  const seen: { sentMs: number; atMs: number }[] = []
  network.open('a:1', 'a', () => undefined)
  network.open('b:1', 'b', (_from, _address, message) => {
    if (message.kind === 'peerTell') seen.push({ sentMs: message.sentMs, atMs: clock.nowMs })
  })
  clock.every(100, () => {
    network.send('a', 'a', 'a:1', 'b:1', { kind: 'peerTell', sentMs: clock.nowMs, stamp: 0 })
  })
  clock.at(2050, () => {
    const mend = direction === 'there' ? network.cut('a', 'b') : network.cut('b', 'a')
    clock.after(cutMs, mend)
  })
  clock.until(2050 + cutMs + 25_000)
  return seen
}

test('a cut holds messages up and lets them through in order; the reset of a long one drops what is old', () => {
  for (const cutMs of [500, 20_000])
    for (const resets of [true, false]) {
      const seen = heard(resets, cutMs, 'there')
      const order = seen.map((one) => one.sentMs)
      deepStrictEqual(
        order,
        [...order].sort((a, b) => a - b),
      )
      const held = seen.filter((one) => one.sentMs > 2050 && one.sentMs < 2050 + cutMs)
      const oldestMs = Math.max(...seen.map((one) => one.atMs - one.sentMs))
      if (resets) ok(oldestMs <= 1002, String(oldestMs))
      else strictEqual(held.length, cutMs / 100)
      ok(seen.some((one) => one.sentMs > 2050 + cutMs && one.sentMs < 2050 + cutMs + 1200) || !resets)
    }
})

test('where the way back is cut, a connection comes to an end after the dead time', () => {
  const during = (resets: boolean) => heard(resets, 20_000, 'back').filter((one) => one.atMs > 3100 && one.atMs < 22_050).length
  deepStrictEqual([during(true), during(false)], [0, 190])
})
