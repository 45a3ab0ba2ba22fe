import { ok, rejects, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { clockMs } from '../clockMs.js'
import { TurnClock } from './TurnClock.js'

test('turns in time count in full, one that was late for what was worked, and each part of it for its share', () => {
  let nowMs = 1000
  let workedMs = 0
  const clock = new TurnClock(
    () => nowMs,
    () => workedMs,
  )
  for (nowMs of [1010, 1021, 1031, 1531, 1541]) clock.turn()
  strictEqual(clock.betweenMs(1000, 1031), 31)
  strictEqual(clock.betweenMs(1005, 1026), 21)
  strictEqual(clock.betweenMs(1031, 1531), 12)
  strictEqual(clock.betweenMs(1281, 1531), 6)
  strictEqual(clock.betweenMs(1000, 1541), 53)
  strictEqual(clock.betweenMs(1541, 1551), 10)
  strictEqual(clock.betweenMs(1541, 9000), 12)
  strictEqual(clock.betweenMs(1531, 1010), 0)
  strictEqual(clock.betweenMs(0, 1010), 10)
  nowMs = 2041
  workedMs = 200
  strictEqual(clock.betweenMs(1541, 2041), 200)
  clock.turn()
  strictEqual(clock.betweenMs(1541, 2041), 200)
  nowMs = 2141
  workedMs = 900
  clock.turn()
  strictEqual(clock.betweenMs(2041, 2141), 100)
})

test("the process's own clock goes on with its turns and its work, and hardly while it stands still without any", async () => {
  const fromMs = clockMs()
  await TurnClock.own.pass(200)
  const toMs = clockMs()
  ok(toMs - fromMs >= 199, `${String(toMs - fromMs)} ms`)
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 400)
  const stoodMs = clockMs()
  ok(TurnClock.own.betweenMs(toMs, stoodMs) <= 50)
  await TurnClock.own.pass(10)
  const beforeMs = process.cpuUsage().user
  TurnClock.own.turn()
  const workMs = clockMs()
  while (process.cpuUsage().user < beforeMs + 300_000);
  const endMs = clockMs()
  ok(TurnClock.own.betweenMs(workMs, endMs) >= 250)
  ok(TurnClock.turnsAlone.betweenMs(workMs, endMs) <= 50)
})

test('what does not come to be so in time is a failure, what does is none', async () => {
  await rejects(
    TurnClock.own.until(() => false, 50),
    /not within 50 ms/,
  )
  let asked = 0
  await TurnClock.own.until(() => ++asked === 5, 5000)
  strictEqual(asked, 5)
})
