/**
 * The contract that each transport must pass. It is handed a way to open a transport and a way to
 * let time pass until something is true.
 */
import { deepStrictEqual, strictEqual } from 'node:assert'
import type { Message } from './Message.js'
import type { Transport } from './Transport.js'

export async function transportContract(
  open: (name: string) => Promise<Transport>,
  until: (ready: () => boolean) => Promise<void>,
): Promise<void> {
  const a = await open('a')
  const b = await open('b')
  const heard: [string, string, Message][] = []
  b.hear((from, fromAddress, message) => {
    heard.push([from, fromAddress, message])
    if (message.kind === 'peerAsk') b.send(fromAddress, { kind: 'peerTell', sentMs: message.sentMs, stamp: 9 })
  })
  const answered: Message[] = []
  a.hear((_from, _address, message) => answered.push(message))
  a.send('127.0.0.1:1', { kind: 'peerAsk', sentMs: 0, stamp: 0 })
  for (let n = 1; n <= 50; n++) a.send(b.address, { kind: 'peerAsk', sentMs: n, stamp: n })
  await until(() => answered.length === 50)
  deepStrictEqual(
    heard.map(([, , message]) => message.kind === 'peerAsk' && message.sentMs),
    Array.from({ length: 50 }, (_, at) => at + 1),
  )
  deepStrictEqual(heard[0]?.slice(0, 2), ['a', a.address])
  await b.close()
  a.send(b.address, { kind: 'peerAsk', sentMs: 51, stamp: 51 })
  const c = await open('c')
  const late: Message[] = []
  c.hear((_from, _address, message) => late.push(message))
  a.send(c.address, { kind: 'peerAsk', sentMs: 52, stamp: 52 })
  await until(() => late.length === 1)
  strictEqual(heard.length, 50)
  await a.close()
  await c.close()
}
