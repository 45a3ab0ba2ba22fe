/**
 * iWS-BFE: which residents make way so that one more fits. Only residents outside their windows count
 * (the minimalist set); those requested within the history window are kept; those whose window
 * overlaps the newcomer's are dropped; the rest is scored and taken from a max-heap, counting what
 * each would free, until the newcomer fits. Gives the victims in score order, or nothing when it
 * does not fit: then no one leaves. Each replacement is an unload, as a server holds one version.
 * `relaxed` is never for the ordinary path. When nothing fits there, `spares` takes only what another
 * server holds too, so that no model loses its last copy; the last resort lets go of the history window,
 * then of the overlap too, then takes even from within a window what another server holds too. `turns`, for what has
 * waited for long, takes from within any window, in score order too.
 */
import { Heap } from './Heap.js'
import type { Relaxation } from './Relaxation.js'
import type { ResidentModel } from './ResidentModel.js'

export function evict(
  newcomer: { nextMs: number; windowFromMs: number; windowToMs: number; size: number },
  residents: readonly ResidentModel[],
  free: number,
  historyMs: number,
  nowMs: number,
  relaxed: Relaxation = 'nothing',
): { key: string; score: number }[] | undefined {
  const spares = relaxed === 'spares'
  const turns = relaxed === 'turns'
  const minimalist = residents.filter((one) =>
    turns ? true : spares ? one.doubled : nowMs < one.windowFromMs || nowMs > one.windowToMs || (relaxed === 'doubles' && one.doubled),
  )
  const unrequested = relaxed === 'nothing' ? minimalist.filter((one) => nowMs - one.lastMs > historyMs) : minimalist
  const apart =
    spares || turns || relaxed === 'overlap' || relaxed === 'doubles'
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
