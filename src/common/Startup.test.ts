import { test } from 'node:test'
import { deepStrictEqual, match, strictEqual } from 'node:assert'
import { Startup } from './Startup.js'

test('every error is named with its path, and nothing else is read', () => {
  const read = Startup.read(Startup.agent, undefined, {
    name: 'L 1',
    zone: 'a',
    transport: 'nowhere',
    seeds: ['127.0.0.1:1'],
    proxy: '127.0.0.1:2',
    bonds: {},
  })
  strictEqual(read.isLeft(), true)
  const errors = read.swap().orDefault([])
  deepStrictEqual(errors.map((line) => line.split(':')[0]).sort(), ['name', 'startup', 'transport'])
  match(errors.join(), /bonds/)
})

test('flags go before the file, and bounds have their defaults', () => {
  const read = Startup.read(Startup.agent, undefined, {
    name: 'l-1',
    zone: 'a',
    transport: '127.0.0.1:1',
    seeds: ['127.0.0.1:1'],
    proxy: '127.0.0.1:2',
  })
  strictEqual(read.map((startup) => startup.bounds.charterMs).orDefault(0), 2000)
})
