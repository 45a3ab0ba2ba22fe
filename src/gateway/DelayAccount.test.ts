import { deepStrictEqual, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { DelayAccount } from './DelayAccount.js'
import { DelayCounts } from './DelayCounts.js'

test('the longest cause is what most of the time went to, the present one included', () => {
  const account = new DelayAccount('model_absent', 0)
  account.enter('connecting', 300)
  account.enter('server_time', 310)
  strictEqual(account.longest(400), 'model_absent')
  strictEqual(account.longest(700), 'server_time')
  strictEqual(account.spentMs('connecting', 700), 10)
})

test('time at a server that failed the request is put down to the failed try', () => {
  const account = new DelayAccount('connecting', 0)
  account.enter('server_time', 10)
  account.failed(510)
  account.enter('server_time', 600)
  strictEqual(account.spentMs('server_time', 700), 100)
  strictEqual(account.spentMs('failed_try', 700), 500)
  strictEqual(account.longest(700), 'failed_try')
})

test('counts add up by outcome, cause and urgency, and those of several gateways are merged', () => {
  const counts = new DelayCounts()
  counts.add('late', 'no_place', 0, 120)
  counts.add('late', 'no_place', 0, 80)
  counts.add('in_time', 'no_place', 0, -50)
  const sum = new DelayCounts()
  for (const count of [...counts.all, ...counts.all]) sum.merge(count)
  deepStrictEqual(
    [...sum.all].map(({ outcome, requests, beyondAimMs }) => [outcome, requests, beyondAimMs]),
    [
      ['late', 4, 400],
      ['in_time', 2, 0],
    ],
  )
})
