import { test } from 'node:test'
import { ok, strictEqual } from 'node:assert'
import { Random } from '../common/Random.js'
import { Bucket } from './Bucket.js'

/** Whether the store could have given so much before then, with what it had given up to now. */
function could(draws: readonly { atMs: number; mb: number }[], wait: { mb: number; atMs: number; untilMs: number }): boolean {
  let level = 0
  let lastMs = 0
  for (const draw of draws.filter((one) => one.atMs <= wait.atMs).sort((a, b) => a.atMs - b.atMs)) {
    level = Math.max(0, level - ((draw.atMs - lastMs) * 10) / 1000) + draw.mb
    lastMs = draw.atMs
  }
  return Math.max(0, level - ((wait.untilMs - 1 - lastMs) * 10) / 1000) + wait.mb <= 20
}

test('nothing at first, the timings later, never more than the burst', () => {
  const bucket = new Bucket(0)
  strictEqual(bucket.reserve(1, 10, 20, 0), false)
  strictEqual(bucket.reserve(10, 10, 20, 1000), true)
  strictEqual(bucket.reserve(1, 10, 20, 1000), false)
  bucket.settle(10, false, 10, 20, 1000, 1000)
  strictEqual(bucket.reserve(10, 10, 20, 1000), true)
})

test('whenever the draws come between sending and settling, no window holds too much', () => {
  let certain = 0
  for (let seed = 0; seed < 100; seed++) {
    const random = new Random(seed)
    const bucket = new Bucket(0)
    const draws: { atMs: number; mb: number }[] = []
    const waits: { mb: number; atMs: number; untilMs: number }[] = []
    const open: { sentMs: number; settleMs: number; mb: number }[] = []
    for (let nowMs = 0; nowMs < 20_000; nowMs += 50) {
      for (const one of open.filter((order) => order.settleMs <= nowMs)) {
        bucket.settle(one.mb, true, 10, 20, one.sentMs, nowMs)
        open.splice(open.indexOf(one), 1)
      }
      const mb = random.between(1, 15)
      const certainMs = bucket.earliestMs(mb, 10, 20, nowMs)
      if (certainMs > 0) waits.push({ mb, untilMs: nowMs + certainMs, atMs: nowMs })
      if (!bucket.reserve(mb, 10, 20, nowMs)) continue
      const settleMs = nowMs + random.between(0, random.hit(0.8) ? 100 : 4000)
      open.push({ sentMs: nowMs, settleMs, mb })
      draws.push({ atMs: random.between(nowMs, settleMs), mb })
    }
    for (const wait of waits) strictEqual(could(draws, wait), false)
    certain += waits.length
    draws.sort((a, b) => a.atMs - b.atMs)
    ok(draws.length > 10)
    draws.forEach((from, at) => {
      let mb = 0
      for (const to of draws.slice(at)) {
        mb += to.mb
        ok(mb <= 20 + (10 * (to.atMs - from.atMs)) / 1000 + 1e-6)
      }
    })
  }
  ok(certain > 0)
})
