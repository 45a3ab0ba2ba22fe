import { deepStrictEqual } from 'node:assert'
import { test } from 'node:test'
import { MemoryBudget } from './MemoryBudget.js'
import { MemoryWatch } from './MemoryWatch.js'

test('a process near its memory or its heap limit says once what the memory goes to, and again after it was lower', (t) => {
  const said: string[] = []
  const budget = new MemoryBudget(100_000_000)
  const watch = new MemoryWatch(350, budget, (sentence) => said.push(sentence))
  t.after(() => {
    watch.close()
  })
  budget.reserve('requests').resize(60_000_000)
  const heapLimit = 140_000_000
  const look = (residentMb: number, heapMb: number) => {
    watch.look({ resident: residentMb * 1e6, heap: heapMb * 1e6, heapLimit, external: 70_000_000 })
  }
  for (const residentMb of [100, 279, 290, 300, 250]) look(residentMb, 50)
  deepStrictEqual(said, ['290 of 350 MB in use: heap 50 of 140 MB, external 70 MB, requests 60 MB'])
  look(200, 50)
  look(200, 120)
  deepStrictEqual(said.slice(1), ['200 of 350 MB in use: heap 120 of 140 MB, external 70 MB, requests 60 MB'])
})
