import { test } from 'node:test'
import { ok, strictEqual } from 'node:assert'
import { fit } from './fit.js'

const points = (figure: (size: number) => number) => [20, 80, 320].map((size) => ({ size, figure: figure(size) }))

test('a line and a square are told apart, with slope, intercept and no miss', () => {
  const straight = fit(points((size) => 3 * size + 7))
  strictEqual(straight.power, 1)
  strictEqual(Math.round(straight.slope * 1000), 3000)
  strictEqual(Math.round(straight.intercept * 1000), 7000)
  ok(straight.missRatio < 1e-9)
  const square = fit(points((size) => 0.5 * size * size + 2))
  strictEqual(square.power, 2)
  strictEqual(Math.round(square.slope * 1000), 500)
  ok(square.exponent > 1.9)
})

test('what misses the line says by how much, and what stays the same has no slope', () => {
  const bent = fit(points((size) => (size === 80 ? 100 : size)))
  ok(bent.missRatio > 0.02 && bent.missRatio < 0.2)
  const same = fit(points(() => 5))
  strictEqual(same.slope, 0)
  strictEqual(same.exponent, 0)
})
