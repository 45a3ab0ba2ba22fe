import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import type { ResidentModel } from './ResidentModel.js'
import { evict } from './evict.js'

const resident = (key: string, nextMs: number, more: Partial<ResidentModel> = {}): ResidentModel => ({
  key,
  nextMs,
  windowFromMs: nextMs - 10,
  windowToMs: nextMs + 10,
  lastMs: -1000,
  surprise: 0,
  size: 10,
  doubled: false,
  ...more,
})

const newcomer = { nextMs: 100, windowFromMs: 80, windowToMs: 120, size: 20 }

test('victims leave in score order, and only as many as needed', () => {
  const victims = evict(
    newcomer,
    [resident('a', 500), resident('b', 1000), resident('c', 900, { surprise: 0.9 }), resident('d', 800)],
    5,
    50,
    70,
  )
  deepStrictEqual(
    victims?.map((one) => one.key),
    ['b', 'd'],
  )
})

test('memory comes only from outside windows, never from within H, never from an overlap', () => {
  strictEqual(evict(newcomer, [resident('in', 70), resident('in2', 60)], 5, 50, 65), undefined)
  strictEqual(evict(newcomer, [resident('recent', 500, { lastMs: 30 }), resident('recent2', 500, { lastMs: 30 })], 5, 50, 70), undefined)
  strictEqual(evict(newcomer, [resident('overlap', 125), resident('overlap2', 125)], 5, 50, 70), undefined)
})

test('the last resort relaxes one rule after the other', () => {
  const keys = (relaxed: 'nothing' | 'history' | 'overlap' | 'doubles') =>
    evict(
      newcomer,
      [resident('recent', 500, { lastMs: 30 }), resident('overlap', 125), resident('in', 70), resident('double', 70, { doubled: true })],
      10,
      50,
      65,
      relaxed,
    )
      ?.map((one) => one.key)
      .join()
  strictEqual(keys('nothing'), undefined)
  strictEqual(keys('history'), 'recent')
  strictEqual(
    evict({ ...newcomer, size: 30 }, [resident('recent', 500, { lastMs: 30 }), resident('overlap', 125)], 10, 50, 65, 'history'),
    undefined,
  )
  strictEqual(
    evict({ ...newcomer, size: 30 }, [resident('recent', 500, { lastMs: 30 }), resident('overlap', 125)], 10, 50, 65, 'overlap')?.length,
    2,
  )
  strictEqual(
    evict({ ...newcomer, size: 30 }, [resident('in', 70), resident('double', 70, { doubled: true })], 20, 50, 65, 'doubles')?.[0]?.key,
    'double',
  )
})

test('a spare makes way from within its window, a last copy never does', () => {
  const residents = [resident('in', 70), resident('far', 500), resident('spare', 70, { doubled: true, lastMs: 65 })]
  strictEqual(
    evict(newcomer, residents, 10, 50, 65, 'spares')
      ?.map((one) => one.key)
      .join(),
    'spare',
  )
  strictEqual(evict({ ...newcomer, size: 30 }, residents, 10, 50, 65, 'spares'), undefined)
})

test('when it does not fit nobody leaves; when it fits already nobody does either', () => {
  strictEqual(evict(newcomer, [resident('a', 500)], 5, 50, 70), undefined)
  deepStrictEqual(evict(newcomer, [resident('a', 500)], 20, 50, 70), [])
})

test('forecasts that all lie before the newcomer score nothing but still make room', () => {
  deepStrictEqual(
    evict(newcomer, [resident('a', 20), resident('b', 30)], 0, 5, 50)?.map((one) => one.score),
    [0, 0],
  )
})
