// The bundle is made from what the sources import, and starts: without settings it ends with a sentence and code 2.
import { strictEqual, match } from 'node:assert'
import { spawnSync } from 'node:child_process'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { test } from 'node:test'
import { Agent, Client, request } from './undici.mjs'

test('the bundle is built, and its entry tells what it lacks', () => {
  const built = spawnSync(process.execPath, ['tools/bundle.mjs'], { encoding: 'utf8' })
  strictEqual(built.status, 0, built.stderr)
  const { SPRINGPADDLE_BOOT: _, ...env } = process.env
  const started = spawnSync(process.execPath, ['target/springpaddle.mjs', 'gateway'], { encoding: 'utf8', env })
  strictEqual(started.status, 2, started.stderr)
  match(started.stderr, /SPRINGPADDLE_BOOT/)
})

test("the bundle's part of the client library asks and posts as the whole one does", async () => {
  const server = createServer((call, response) => response.end(`${call.method} ${call.url}`))
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const origin = `http://127.0.0.1:${String(server.address().port)}`
  const agent = new Agent({ connections: 1 })
  const client = new Client(origin)
  const asked = await request(`${origin}/a?b=1`, { dispatcher: agent })
  strictEqual(await asked.body.text(), 'GET /a?b=1')
  const posted = await request(`${origin}/order`, { dispatcher: client, method: 'POST', body: '{}', reset: true })
  strictEqual(await posted.body.text(), 'POST /order')
  await Promise.all([agent.close(), client.close()])
  server.close()
})
