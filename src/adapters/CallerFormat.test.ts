import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { CallerFormat } from './CallerFormat.js'

test('paths, dues and bodies are read, improper ones told', () => {
  deepStrictEqual(CallerFormat.path('/v1/services/lobby/ready?x=1'), { kind: 'service', name: 'lobby', rest: '/ready?x=1' })
  deepStrictEqual(CallerFormat.path('/v1/models/pair'), { kind: 'model', name: 'pair' })
  strictEqual(CallerFormat.path('/v1/models/pair/extra'), undefined)
  strictEqual(CallerFormat.due('0').isLeft(), true)
  strictEqual(CallerFormat.due('1e3').isLeft(), true)
  strictEqual(CallerFormat.due('250').extract(), 250)
  strictEqual(CallerFormat.model('pair', Buffer.from('{"adapter":5}')).isLeft(), true)
})

test('chains with a shared prefix share their first links', () => {
  const chain = (...parts: string[]) =>
    CallerFormat.model('m', Buffer.from(JSON.stringify({ parts })))
      .map((target) => (target.kind === 'model' ? target.chain : []))
      .orDefault([])
  const one = chain('a', 'b', 'c')
  const other = chain('a', 'b', 'd')
  deepStrictEqual(one.slice(0, 2), other.slice(0, 2))
  strictEqual(one[2] === other[2], false)
})
