import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import type { Runbook } from './Runbook.js'
import { runRunbook } from './runRunbook.js'

type Hands = Parameters<typeof runRunbook>[2]

function stage(alive: () => boolean): { hands: Hands; asked: string[]; records: string[] } {
  let nowMs = 0
  const asked: string[] = []
  const records: string[] = []
  const core: Hands['core'] = {
    ask: (method, path) => {
      asked.push(`${method} ${path}`)
      return Promise.resolve({
        status: 200,
        body: path === '/nodes' ? JSON.stringify({ core: [], seats: [{ seat: 'a', alive: alive() }] }) : '{"zones":{"b":{"emptied":true}}}',
      })
    },
  }
  const hands: Hands = {
    core,
    nowMs: () => nowMs,
    pause: (waitMs) => {
      nowMs += waitMs
      return Promise.resolve()
    },
    say: () => undefined,
    record: (entry) => records.push(`${String(entry.step)} ${entry.ended}`),
    operation: (step) => `r-${String(step)}`,
  }
  return { hands, asked, records }
}

const book: Runbook = {
  about: '',
  variables: {},
  steps: [
    { title: 'seats', check: { kind: 'seats', alive: 'all' }, withinMs: 1000 },
    { title: 'empty', do: { kind: 'patch', tree: { zones: { b: { emptied: true } } } } },
    { title: 'said', check: { kind: 'leaf', path: 'zones.b.emptied', equals: true }, withinMs: 1000 },
  ],
}

test('steps are carried out in turn, and a check is given its time', async () => {
  let looks = 0
  const { hands, asked, records } = stage(() => (looks += 1) > 3)
  strictEqual(await runRunbook(book, 0, hands), true)
  deepStrictEqual(asked.slice(-3), ['GET /nodes', 'PATCH /charter', 'GET /charter'])
  deepStrictEqual(records, ['0 done', '1 done', '2 done'])
})

test('the first check that fails stops it, and it goes on from there', async () => {
  const bad = stage(() => false)
  strictEqual(await runRunbook(book, 0, bad.hands), false)
  deepStrictEqual(bad.records, ['0 failed'])
  strictEqual(bad.asked.includes('PATCH /charter'), false)
  const good = stage(() => false)
  strictEqual(await runRunbook(book, 1, good.hands), true)
  deepStrictEqual(good.records, ['1 done', '2 done'])
})
