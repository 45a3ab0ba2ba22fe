import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { Chance } from './Chance.js'

test('the same seed draws the same numbers, another seed others', () => {
  const draw = (seed: number) => {
    const chance = new Chance(seed)
    return Array.from({ length: 20 }, () => chance.next()).join()
  }
  strictEqual(draw(7), draw(7))
  strictEqual(draw(7) === draw(8), false)
})
