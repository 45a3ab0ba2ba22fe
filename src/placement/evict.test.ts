import { test } from 'node:test'
import { deepStrictEqual, strictEqual } from 'node:assert'
import type { Tenant } from './Tenant.js'
import { evict } from './evict.js'

const tenant = (key: string, nextMs: number, more: Partial<Tenant> = {}): Tenant => ({
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
  const victims = evict(newcomer, [tenant('a', 500), tenant('b', 1000), tenant('c', 900, { surprise: 0.9 }), tenant('d', 800)], 5, 50, 70)
  deepStrictEqual(
    victims?.map((one) => one.key),
    ['b', 'd'],
  )
})

test('memory comes only from outside windows, never from within H, never from an overlap', () => {
  strictEqual(evict(newcomer, [tenant('in', 70), tenant('in2', 60)], 5, 50, 65), undefined)
  strictEqual(evict(newcomer, [tenant('recent', 500, { lastMs: 30 }), tenant('recent2', 500, { lastMs: 30 })], 5, 50, 70), undefined)
  strictEqual(evict(newcomer, [tenant('overlap', 125), tenant('overlap2', 125)], 5, 50, 70), undefined)
})

test('the last resort relaxes one rule after the other', () => {
  const keys = (relaxed: 'nothing' | 'history' | 'overlap' | 'doubles') =>
    evict(
      newcomer,
      [tenant('recent', 500, { lastMs: 30 }), tenant('overlap', 125), tenant('in', 70), tenant('double', 70, { doubled: true })],
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
    evict({ ...newcomer, size: 30 }, [tenant('recent', 500, { lastMs: 30 }), tenant('overlap', 125)], 10, 50, 65, 'history'),
    undefined,
  )
  strictEqual(
    evict({ ...newcomer, size: 30 }, [tenant('recent', 500, { lastMs: 30 }), tenant('overlap', 125)], 10, 50, 65, 'overlap')?.length,
    2,
  )
  strictEqual(
    evict({ ...newcomer, size: 30 }, [tenant('in', 70), tenant('double', 70, { doubled: true })], 20, 50, 65, 'doubles')?.[0]?.key,
    'double',
  )
})

test('a spare makes way from within its window, a last copy never does', () => {
  const tenants = [tenant('in', 70), tenant('far', 500), tenant('spare', 70, { doubled: true, lastMs: 65 })]
  strictEqual(
    evict(newcomer, tenants, 10, 50, 65, 'spares')
      ?.map((one) => one.key)
      .join(),
    'spare',
  )
  strictEqual(evict({ ...newcomer, size: 30 }, tenants, 10, 50, 65, 'spares'), undefined)
})

test('when it does not fit nobody leaves; when it fits already nobody does either', () => {
  strictEqual(evict(newcomer, [tenant('a', 500)], 5, 50, 70), undefined)
  deepStrictEqual(evict(newcomer, [tenant('a', 500)], 20, 50, 70), [])
})

test('forecasts that all lie before the newcomer score nothing but still make room', () => {
  deepStrictEqual(
    evict(newcomer, [tenant('a', 20), tenant('b', 30)], 0, 5, 50)?.map((one) => one.score),
    [0, 0],
  )
})
