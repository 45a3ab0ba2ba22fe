import { test } from 'node:test'
import { ok, strictEqual } from 'node:assert'
import { Predictor } from './Predictor.js'

test('a steady course is forecast with a narrow window, a ragged one with a wide one', () => {
  const predictor = new Predictor()
  for (let n = 0; n < 50; n++) {
    predictor.arrived('steady', 1, n * 100)
    predictor.arrived('ragged', 1, n * 100 + (n % 2) * 80)
  }
  strictEqual(predictor.forecast('steady', 4900)?.nextMs, 5000)
  ok((predictor.forecast('steady', 4900)?.deltaMs ?? 99) < 1)
  ok((predictor.forecast('ragged', 4980)?.deltaMs ?? 0) > 20)
  strictEqual(predictor.forecast('never', 0), undefined)
})

test('who stays away is expected ever later and is less of a surprise', () => {
  const predictor = new Predictor()
  for (let n = 0; n < 10; n++) predictor.arrived('m', 1, n * 100)
  const soon = predictor.forecast('m', 2000)?.nextMs ?? 0
  const later = predictor.forecast('m', 9000)?.nextMs ?? 0
  ok(soon - 2000 < later - 9000)
  ok(predictor.surprise('m', 100, 2000) > predictor.surprise('m', 100, 9000))
})

test('the history window is the mean gap over all models', () => {
  const predictor = new Predictor()
  for (let n = 0; n < 200; n++) {
    predictor.arrived('a', 1, n * 100)
    if (n % 10 === 0) predictor.arrived('b', 1, n * 100)
  }
  ok(Math.abs(predictor.historyMs - 2 / (1 / 100 + 1 / 1000)) < 1)
})
