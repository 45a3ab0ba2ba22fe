import { match, notStrictEqual, ok, strictEqual } from 'node:assert'
import { createServer } from 'node:net'
import { test, type TestContext } from 'node:test'
import { request } from 'undici'
import { Logger } from './Logger.js'
import { Meters } from './Meters.js'
import { MetricsServer } from './MetricsServer.js'
import { OwnLoopback } from './testing/OwnLoopback.js'

const { host } = OwnLoopback

class WarningLogger extends Logger {
  readonly warnings: string[] = []

  constructor() {
    super('test', 'test', 'silent')
  }

  override warn(part: string, sentence: string): void {
    this.warnings.push(`${part}: ${sentence}`)
  }
}

async function served(t: TestContext, meters: () => Promise<Meters>) {
  const logger = new WarningLogger()
  const server = await MetricsServer.open({ host, port: 0, path: '/some/metrics' }, meters, logger)
  ok(server !== undefined)
  t.after(() => {
    server.close()
  })
  const ask = async (path: string, method: 'GET' | 'POST' = 'GET') => {
    const { statusCode, headers, body } = await request(`http://${host}:${String(server.port)}${path}`, { method })
    return { status: statusCode, type: headers['content-type'], connection: headers.connection, text: await body.text() }
  }
  return { ask, logger }
}

test('the figures are text at the path; any other path is 404, any other method 405', async (t) => {
  let made = 0
  const meters = new Meters('gateway', 'edge-1', 'read')
  meters.gauges({ held: 'held' }, () => ({ held: 3 }))
  const { ask } = await served(t, () => {
    made += 1
    return Promise.resolve(meters)
  })
  for (const path of ['/', '/metrics', '/some', '/some/metrics/', '/some/metrics?x=1']) strictEqual((await ask(path)).status, 404, path)
  strictEqual((await ask('/some/metrics', 'POST')).status, 405)
  strictEqual(made, 0, 'nobody asked for figures yet')
  const { status, type, connection, text } = await ask('/some/metrics')
  strictEqual(status, 200)
  match(String(type), /^text\/plain/)
  strictEqual(connection, 'close')
  match(text, /^springpaddle_held\{program="gateway",name="edge-1"\} 3$/m)
})

test('figures that cannot be read are 500 and a warning, and the next reading is tried', async (t) => {
  const meters = new Meters('gateway', 'edge-1', 'read')
  let fails = true
  meters.gauges({ held: 'held' }, () => {
    if (fails) throw new Error('no figures')
    return { held: 3 }
  })
  const { ask, logger } = await served(t, () => Promise.resolve(meters))
  strictEqual((await ask('/some/metrics')).status, 500)
  strictEqual(logger.warnings.join(), 'metrics: Could not be read: no figures.')
  fails = false
  strictEqual((await ask('/some/metrics')).status, 200)
})

test('a port that is taken is a warning and nothing more', async (t) => {
  const other = createServer()
  const port = OwnLoopback.portOf(await OwnLoopback.listen(other))
  t.after(() => other.close())
  notStrictEqual(port, 0)
  const logger = new WarningLogger()
  const meters = () => Promise.resolve(new Meters('gateway', 'edge-1', 'read'))
  strictEqual(await MetricsServer.open({ host, port, path: '/metrics' }, meters, logger), undefined)
  strictEqual(logger.warnings.length, 1)
  match(logger.warnings[0] ?? '', new RegExp(`^metrics: Can't be served on ${host.replaceAll('.', '\\.')}:${String(port)}: .*EADDRINUSE`))
})
