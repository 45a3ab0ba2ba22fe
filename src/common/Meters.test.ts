import { createHook } from 'node:async_hooks'
import { test } from 'node:test'
import { deepStrictEqual, doesNotMatch, match, strictEqual } from 'node:assert'
import { Meters } from './Meters.js'

test('what was counted, measured and read stands in the text', async () => {
  const meters = new Meters('proxy', 'post-1')
  meters.counter('requests', 'requests', ['outcome'])({ outcome: 'responded' })
  meters.span('held', 'held')(42)
  meters.gauges({ waiting: 'waiting' }, () => ({ waiting: 7 }))
  const text = await meters.text()
  match(text, /springpaddle_requests\{outcome="responded",program="proxy",name="post-1"\} 1/)
  match(text, /springpaddle_held_ms_sum\{program="proxy",name="post-1"\} 42/)
  match(text, /springpaddle_waiting\{program="proxy",name="post-1"\} 7/)
})

test('gauges of one reading are read once a text, and one that is not given is left out', async () => {
  const meters = new Meters('control', 'box-1', 'read')
  let readings = 0
  let given: Record<string, number> = { a: 1, b: 2 }
  meters.gauges({ a: 'a', b: 'b' }, () => {
    readings += 1
    return given
  })
  strictEqual(readings, 0)
  match(await meters.text(), /springpaddle_a\{.*\} 1\n[^]*springpaddle_b\{.*\} 2\n/)
  strictEqual(readings, 1)
  given = { b: 3 }
  const text = await meters.text()
  doesNotMatch(text, /^springpaddle_a\{/m)
  match(text, /^springpaddle_b\{.*\} 3$/m)
  given = { a: 4, b: 5 }
  match(await meters.text(), /springpaddle_a\{.*\} 4\n/)
})

test('counters and gauges with labels tell what stands elsewhere, and forget what is gone there', async () => {
  const meters = new Meters('control', 'box-1', 'read')
  const kept = new Map([
    ['load', 2],
    ['unload', 1],
  ])
  const samples = () => [...kept].map(([kind, value]) => ({ labels: { kind }, value }))
  meters.readCounter('ended', 'ended', ['kind'], samples)
  meters.readGauge('tasks', 'tasks', ['kind'], samples)
  const first = await meters.text()
  match(
    first,
    /# TYPE springpaddle_ended counter\nspringpaddle_ended\{kind="load",[^}]*\} 2\nspringpaddle_ended\{kind="unload",[^}]*\} 1\n/,
  )
  match(first, /# TYPE springpaddle_tasks gauge\nspringpaddle_tasks\{kind="load",[^}]*\} 2\nspringpaddle_tasks\{kind="unload",[^}]*\} 1\n/)
  kept.set('load', 5)
  kept.delete('unload')
  const second = await meters.text()
  match(second, /^springpaddle_ended\{kind="load",[^}]*\} 5$/m)
  doesNotMatch(second, /unload/)
})

test('a runtime that is only read has no timer and no observer, and tells processor time and memory', async (t) => {
  const made: string[] = []
  const hook = createHook({
    init: (_id, type) => {
      made.push(type)
    },
  })
  t.after(() => hook.disable())
  const wakers = () => made.filter((type) => /^(ELDHISTOGRAM|Timeout|Immediate|PERFORMANCE)/.test(type))
  hook.enable()
  const meters = new Meters('control', 'box-1', 'read')
  hook.disable()
  deepStrictEqual(wakers(), [])
  const text = await meters.text()
  doesNotMatch(text, /nodejs_gc_duration|eventloop_lag/)
  match(text, /^process_cpu_seconds_total\{.*\} [\d.e-]+$/m)
  match(text, /^process_resident_memory_bytes\{.*\} \d+$/m)
  hook.enable()
  new Meters('control', 'box-1', 'observed')
  hook.disable()
  deepStrictEqual(wakers(), ['ELDHISTOGRAM'], 'the hook sees what wakes the process')
})
