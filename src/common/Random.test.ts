import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { Random } from './Random.js'

test('the same seed draws the same numbers, another seed others', () => {
  const draw = (seed: number) => {
    const random = new Random(seed)
    return Array.from({ length: 20 }, () => random.next()).join()
  }
  strictEqual(draw(7), draw(7))
  strictEqual(draw(7) === draw(8), false)
})
