import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { GatewayStartup } from './GatewayStartup.js'
import { Mechanism } from '../common/Mechanism.js'
import { Mechanisms } from '../common/Mechanisms.js'
import { Startup } from '../common/Startup.js'

const gateway = { name: 'g-1', zone: 'a', transport: '127.0.0.1:1', callers: '127.0.0.1:2', seeds: ['127.0.0.1:3'] }
const control = { name: 'c-1', zone: 'a', transport: '127.0.0.1:1', operators: '127.0.0.1:2', seeds: ['127.0.0.1:3'], data: '/tmp/x' }

test('all mechanisms are on, but for those that are switched off by name', () => {
  for (const one of Mechanism.options) {
    ok(Mechanisms.all.has(one))
    const without = Mechanisms.without([one])
    deepStrictEqual(
      Mechanism.options.filter((other) => !without.has(other)),
      [one],
    )
  }
  strictEqual(Mechanisms.without([]), Mechanisms.all)
})

test('a startup names what is switched off, and a name that there is not is an error by its path', () => {
  const told = (schema: typeof GatewayStartup | typeof Startup.control, base: object, without: readonly string[]) =>
    Startup.read<{ without: readonly Mechanism[] }>(schema, undefined, { ...base, without })
  for (const [schema, base] of [
    [GatewayStartup, gateway],
    [Startup.control, control],
  ] as const) {
    deepStrictEqual(
      told(schema, base, ['turns'])
        .map((startup) => startup.without)
        .orDefault([]),
      ['turns'],
    )
    const errors = told(schema, base, ['turns', 'magic']).swap().orDefault([])
    strictEqual(errors.length, 1)
    ok(errors[0]?.startsWith('without.1: '), errors[0])
  }
})
