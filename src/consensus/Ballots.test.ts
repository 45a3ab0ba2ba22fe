import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { Random as Chances } from '../common/Random.js'
import { Timings as paceOf } from '../common/Timings.js'
import { Ballots } from './Ballots.js'

test('one round has at most one winner, and some round has one', () => {
  const timings = paceOf({ charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 })
  for (let seed = 0; seed < 200; seed++) {
    const names = ['a', 'b', 'c']
    const boxes = names.map((name, at) => new Ballots(name, timings, new Chances(seed * 3 + at)))
    const winners = new Map<number, string>()
    for (let nowMs = 0; nowMs < 3000; nowMs += 25) {
      boxes.forEach((box, at) => {
        const round = box.tick(7, nowMs)
        const name = names[at] ?? ''
        if (round === undefined) return
        boxes.forEach((other, to) => {
          if (to !== at && other.give(7, round, name, nowMs) && box.count(7, round, names[to] ?? '', 3)) {
            strictEqual(winners.get(round) ?? name, name)
            winners.set(round, name)
          }
        })
      })
    }
    strictEqual(winners.size > 0, true)
  }
})
