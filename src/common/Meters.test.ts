import { test } from 'node:test'
import { match } from 'node:assert'
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
