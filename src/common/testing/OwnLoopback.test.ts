import { ok, match, notStrictEqual, rejects, strictEqual } from 'node:assert'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createServer } from 'node:net'
import { test } from 'node:test'
import { OwnLoopback } from './OwnLoopback.js'

const module = new URL('OwnLoopback.js', import.meta.url).href

/** What another process has for its own host, and the first free address that it finds, while it lives beside this one. */
async function other(): Promise<{ said: string[]; end: () => void }> {
  const text = `const { OwnLoopback } = await import(${JSON.stringify(module)})
    console.log(OwnLoopback.host + ' ' + (await OwnLoopback.freeAddress()))
    setInterval(() => undefined, 1000)`
  const child = spawn(process.execPath, ['--input-type=module', '-e', text], { stdio: ['ignore', 'pipe', 'inherit'] })
  let said = ''
  child.stdout.on('data', (chunk: Buffer) => (said += chunk.toString()))
  while (!said.includes('\n')) await once(child.stdout, 'data')
  return { said: said.trim().split(' '), end: () => void child.kill('SIGKILL') }
}

test('processes side by side have hosts of their own, of which none is the common one', async (t) => {
  const others = await Promise.all([other(), other(), other()])
  t.after(() => {
    for (const { end } of others) end()
  })
  const hosts = [OwnLoopback.host, ...others.map(({ said }) => said[0] ?? '')]
  strictEqual(new Set(hosts).size, hosts.length, hosts.join())
  for (const host of hosts) match(host, /^127\.(6[4-9]|[789]\d|1[01]\d|12[0-7])\.\d+\.\d+$/)
  for (const { said } of others) ok(said[1]?.startsWith(`${said[0] ?? ''}:`), said.join())
})

test('a free address can be listened on, and is given once', async () => {
  const addresses = await Promise.all(Array.from({ length: 50 }, () => OwnLoopback.freeAddress()))
  strictEqual(new Set(addresses).size, 50)
  for (const address of addresses) {
    const server = createServer()
    strictEqual(await OwnLoopback.listen(server, OwnLoopback.portOf(address)), address)
    server.close()
    await once(server, 'close')
  }
})

test('a port that a server on all addresses has is passed over', async (t) => {
  const next = OwnLoopback.portOf(await OwnLoopback.freeAddress()) + 1
  const wide = createServer().listen(next, '0.0.0.0')
  t.after(() => wide.close())
  await once(wide, 'listening')
  notStrictEqual(OwnLoopback.portOf(await OwnLoopback.freeAddress()), next)
  await rejects(OwnLoopback.listen(createServer(), next), /EADDRINUSE/)
})
