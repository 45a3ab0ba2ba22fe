/**
 * Cuts over real sockets. The links are set up once for this whole process.
 */
import { once } from 'node:events'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { connect, createServer, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { HeldLinks } from './HeldLinks.js'

const host = '127.0.0.1'
const waitMs = 100
const links = new HeldLinks()
links.install()

async function echo(t: TestContext): Promise<{ port: number; heard: string[] }> {
  const heard: string[] = []
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => undefined)
    socket.on('data', (chunk) => {
      heard.push(String(chunk))
      socket.write(chunk)
    })
  })
  server.listen(0, host)
  await once(server, 'listening')
  t.after(() => {
    links.cut([])
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  const bound = server.address()
  return { port: typeof bound === 'object' && bound !== null ? bound.port : 0, heard }
}

test('a cut holds what is written and what comes in, and healing brings both in order', async (t) => {
  const { port, heard } = await echo(t)
  const socket = connect(port, host)
  t.after(() => socket.destroy())
  const got: string[] = []
  socket.on('data', (chunk) => got.push(String(chunk)))
  await once(socket, 'connect')
  socket.write('one')
  await pause(waitMs)
  links.cut([host])
  socket.write('two')
  socket.write('three')
  await pause(waitMs)
  deepStrictEqual([heard, got], [['one'], ['one']])
  links.cut([])
  await pause(waitMs)
  // How the bytes are cut into pieces is the network's affair.
  deepStrictEqual([heard.join(''), got.join('')], ['onetwothree', 'onetwothree'])
})

test('a connection that is made during a cut hangs until it is healed', async (t) => {
  const { port, heard } = await echo(t)
  links.cut([host])
  const socket = connect({ port, host })
  t.after(() => socket.destroy())
  let made = false
  socket.on('connect', () => (made = true))
  socket.write('late')
  await pause(waitMs)
  strictEqual(made, false)
  links.cut([])
  await pause(waitMs)
  deepStrictEqual([made, heard], [true, ['late']])
})

test('one that was given up during the cut is never made, and other addresses are not cut', async (t) => {
  const { port, heard } = await echo(t)
  links.cut(['127.0.0.9'])
  const socket = connect(port, host)
  await once(socket, 'connect')
  socket.destroy()
  links.cut([host])
  const given = connect(port, host)
  given.destroy()
  links.cut([])
  await pause(waitMs)
  deepStrictEqual(heard, [])
})
