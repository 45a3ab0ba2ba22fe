import { test } from 'node:test'
import { telegraphContract } from './telegraphContract.js'
import { TcpTelegraph } from './TcpTelegraph.js'

test('passes the contract of transports', async () => {
  await telegraphContract(
    (name) => TcpTelegraph.open(name, '127.0.0.1:0'),
    async (ready) => {
      while (!ready()) await new Promise((resolve) => setImmediate(resolve))
    },
  )
})
