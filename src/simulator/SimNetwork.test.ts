import { test } from 'node:test'
import { Random as Chances } from '../common/Random.js'
import type { Transport } from '../transport/Transport.js'
import { transportContract } from '../transport/transportContract.js'
import { SimClock } from './SimClock.js'
import { SimNetwork } from './SimNetwork.js'

test('passes the contract of transports', async () => {
  const clock = new SimClock()
  const network = new SimNetwork(clock, new Chances(1))
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
