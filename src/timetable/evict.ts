/**
 * iWS-BFE: which tenants make way so that one more fits. Only tenants outside their windows count
 * (the minimalist set); those requested within the history window are kept; those whose window
 * overlaps the newcomer's are dropped; the rest is scored and taken from a max-heap, counting what
 * each would free, until the newcomer fits. Gives the victims in score order, or nothing when it
 * does not fit: then no one leaves. Each replacement is an unload, as a server holds one version.
 * `relaxed` is never for the ordinary path. When nothing fits there, `spares` takes only what another
 * server holds too, so that no model loses its last copy; the last resort lets go of the history window,
 * then of the overlap too, then takes even from within a window what another server holds too.
 */
import { deepStrictEqual, strictEqual } from 'node:assert'
import { proof } from '../gauge/proof.js'
import { Heap } from './Heap.js'
import type { Tenant } from './Tenant.js'

export function evict(
  newcomer: { nextMs: number; windowFromMs: number; windowToMs: number; size: number },
  tenants: readonly Tenant[],
  free: number,
  historyMs: number,
  nowMs: number,
  relaxed: 'nothing' | 'spares' | 'history' | 'overlap' | 'doubles' = 'nothing',
): { key: string; score: number }[] | undefined {
  const spares = relaxed === 'spares'
  const minimalist = tenants.filter((one) =>
    spares ? one.doubled : nowMs < one.windowFromMs || nowMs > one.windowToMs || (relaxed === 'doubles' && one.doubled),
  )
  const unrequested = relaxed === 'nothing' ? minimalist.filter((one) => nowMs - one.lastMs > historyMs) : minimalist
  const apart =
    spares || relaxed === 'overlap' || relaxed === 'doubles'
      ? unrequested
      : unrequested.filter((one) => one.windowFromMs > newcomer.windowToMs || one.windowToMs < newcomer.windowFromMs)
  const farthest = Math.max(...apart.map((one) => one.nextMs - newcomer.nextMs))
  const heap = new Heap<{ key: string; score: number; size: number }>((a, b) => a.score - b.score || (a.key < b.key ? 1 : -1))
  for (const one of apart) {
    const distance = farthest > 0 ? Math.max(0, one.nextMs - newcomer.nextMs) / farthest : 0
    heap.push({ key: one.key, score: distance * (1 - one.surprise), size: one.size })
  }
  const victims: { key: string; score: number }[] = []
  let room = free
  while (room < newcomer.size) {
    const victim = heap.pop()
    if (victim === undefined) return undefined
    victims.push({ key: victim.key, score: victim.score })
    room += victim.size
  }
  return victims
}

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
proof(import.meta.url, {
  'victims leave in score order, and only as many as needed': () => {
    const victims = evict(newcomer, [tenant('a', 500), tenant('b', 1000), tenant('c', 900, { surprise: 0.9 }), tenant('d', 800)], 5, 50, 70)
    deepStrictEqual(
      victims?.map((one) => one.key),
      ['b', 'd'],
    )
  },
  'memory comes only from outside windows, never from within H, never from an overlap': () => {
    strictEqual(evict(newcomer, [tenant('in', 70), tenant('in2', 60)], 5, 50, 65), undefined)
    strictEqual(evict(newcomer, [tenant('recent', 500, { lastMs: 30 }), tenant('recent2', 500, { lastMs: 30 })], 5, 50, 70), undefined)
    strictEqual(evict(newcomer, [tenant('overlap', 125), tenant('overlap2', 125)], 5, 50, 70), undefined)
  },
  'the last resort relaxes one rule after the other': () => {
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
  },
  'a spare makes way from within its window, a last copy never does': () => {
    const tenants = [tenant('in', 70), tenant('far', 500), tenant('spare', 70, { doubled: true, lastMs: 65 })]
    strictEqual(
      evict(newcomer, tenants, 10, 50, 65, 'spares')
        ?.map((one) => one.key)
        .join(),
      'spare',
    )
    strictEqual(evict({ ...newcomer, size: 30 }, tenants, 10, 50, 65, 'spares'), undefined)
  },
  'when it does not fit nobody leaves; when it fits already nobody does either': () => {
    strictEqual(evict(newcomer, [tenant('a', 500)], 5, 50, 70), undefined)
    deepStrictEqual(evict(newcomer, [tenant('a', 500)], 20, 50, 70), [])
  },
  'forecasts that all lie before the newcomer score nothing but still make room': () => {
    deepStrictEqual(
      evict(newcomer, [tenant('a', 20), tenant('b', 30)], 0, 5, 50)?.map((one) => one.score),
      [0, 0],
    )
  },
})
