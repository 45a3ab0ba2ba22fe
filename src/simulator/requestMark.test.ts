import { createServer } from 'node:http'
import { test } from 'node:test'
import { deepStrictEqual, ok } from 'node:assert'
import { request as call } from 'undici'
import { clockMs } from '../common/clockMs.js'
import { readBody } from '../common/readBody.js'
import { OwnLoopback } from '../common/testing/OwnLoopback.js'
import { CallerFormat } from '../adapters/CallerFormat.js'
import { Callers } from './Callers.js'
import { Deployment } from './Deployment.js'
import { checkInvariants } from './checkInvariants.js'
import { requestMark } from './requestMark.js'
import type { Observation } from './Observation.js'
import { StandInHttp } from './StandInHttp.js'

const forwarded = ['request-id', 'service-name', 'lines', requestMark.header]
/** What a proxy sends to the server for one request that it received. */
type Send = (headers: Record<string, string>, body: string) => Promise<void>
type Forward = (headers: Record<string, string>, body: string, send: Send) => Promise<void>

/** Asks one model and one service request, and one more as a visitor does, through a forwarder; gives the rules they broke. */
async function brokenRules(forward: Forward, visitors: boolean): Promise<string[]> {
  const seen: Observation[] = []
  const see = (one: Observation) => seen.push(one)
  const plan = {
    name: 's',
    zone: 'a',
    roomMb: 10,
    places: 1,
    loadMbPerS: 10,
    checksEpoch: true,
    enforcesEpoch: true,
    warmMs: 0,
    coldLimit: 9,
  }
  const server = new StandInHttp(plan, 1, see)
  await server.open()
  const proxy = createServer((incoming, response) => {
    void (async () => {
      const body = (await readBody(incoming, 1_000_000))?.toString() ?? ''
      const headers: Record<string, string> = { 'request-id': 'given-by-the-proxy' }
      for (const name of forwarded) {
        const value = incoming.headers[name]
        if (typeof value === 'string') headers[name] = value
      }
      const path = (incoming.url ?? '').replace('/v1/models/', '/run/').replace(/^\/v1\/services\/[^/]+/, '')
      let answer = ''
      await forward(headers, body, async (sentHeaders, sentBody) => {
        const reply = await call(`http://${server.address}${path}`, { method: 'POST', headers: sentHeaders, body: sentBody })
        const text = await reply.body.text()
        answer ||= text
      })
      response.end(answer)
    })()
  })
  const address = await OwnLoopback.listen(proxy)
  const deployment = Deployment.of('gopherline')
  ok(deployment !== undefined)
  const callers = new Callers(
    deployment,
    1,
    () => [address],
    () => true,
    see,
  )
  for (const kind of ['model', 'service'] as const) {
    const course = deployment.courses.find((one) => one.kind === kind)
    ok(course !== undefined)
    server.state.take({ epoch: 1, number: 1, kind: 'load', model: course.service, adapter: '', sizeMb: 0 }, clockMs())
    await callers.ask({ ...course, adapters: [] })
    if (kind === 'model')
      await (await call(`http://${address}/v1/models/${course.service}`, { method: 'POST', body: '{"parts": ["hello"]}' })).body.dump()
  }
  await callers.close()
  proxy.close()
  proxy.closeAllConnections()
  await server.crash()
  const rules = checkInvariants({
    observations: seen,
    visitors,
    bounds: { charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 },
    zones: new Map([['s', 'a']]),
    sizes: new Map(),
    leastAsked: 2,
    longestRunMs: 1000,
    allowed: () => true,
    paceMbPerS: 1e9,
    burstMb: 1e9,
    retryRatio: 0.2,
    retryAllowance: 1e9,
    slackMs: 60_000,
  })
  return Object.entries(rules)
    .filter(([, defects]) => defects.length > 0)
    .map(([rule]) => rule)
}

const without = (headers: Record<string, string>, ...names: string[]) =>
  Object.fromEntries(Object.entries(headers).filter(([name]) => !names.includes(name)))

test("a visitor's request passes where visitors are allowed, and is stray where they are not", async () => {
  const faithful: Forward = (headers, body, send) => send(headers, body)
  deepStrictEqual(await brokenRules(faithful, true), [])
  deepStrictEqual(await brokenRules(faithful, false), ['stray'])
})

test('requests that a broken proxy makes up are stray among visitors too', async () => {
  const again: Forward = async (headers, body, send) => {
    await send(headers, body)
    await send({ ...headers, [CallerFormat.idHeader]: 'made-up' }, body)
  }
  deepStrictEqual(await brokenRules(again, true), ['stray'])
  const bare: Forward = async (headers, body, send) => {
    await send(headers, body)
    await send(without(headers, CallerFormat.idHeader, requestMark.header), body)
  }
  deepStrictEqual(await brokenRules(bare, true), ['stray'])
  let lastBody = ''
  const swapped: Forward = async (headers, body, send) => {
    await send(headers, lastBody === '' ? body : lastBody)
    lastBody = body
  }
  deepStrictEqual(await brokenRules(swapped, true), ['stray'])
})
