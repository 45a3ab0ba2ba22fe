import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { SimFault } from './SimFault.js'
import { diskTakers } from './diskTakers.js'

test('a storm is the same for its seed, takes one disk at the most, and reads back from its text', () => {
  const names = ['lose-disk', 'swap-seeds', 'crowd', 'kill-leader']
  const storm = SimFault.storm(names, 3, 12, 40_000)
  deepStrictEqual(SimFault.storm(names, 3, 12, 40_000), storm)
  strictEqual(storm.filter((one) => diskTakers.includes(one.name)).length <= 1, true)
  deepStrictEqual(SimFault.read(SimFault.write(storm)), storm)
  strictEqual(SimFault.read('crowd'), undefined)
})
