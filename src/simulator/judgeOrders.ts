/**
 * Judges what operators saw of the network. Revisions only rise, so the orders in force form a chain in which
 * each names the revision of the one before it; the history is linearizable if the acknowledged orders and
 * the reads fit one such chain in real time. Besides, an order that was taken is never refused, one that was
 * refused is never in force, and a refusal had a moment at which another revision was current.
 */
import type { NetworkSeen } from './NetworkSeen.js'
import type { OrderAttempt } from './OrderAttempt.js'
import type { OrderHistory } from './OrderHistory.js'

const isRefusal = ({ status }: OrderAttempt): boolean => status >= 400 && status < 500
const isAcknowledgement = ({ status }: OrderAttempt): boolean => status === 200

/** Every order known to have been in force, as of the first sign of it. */
function inForce({ attempts, reads, applied }: OrderHistory): NetworkSeen[] {
  const first = new Map<number, NetworkSeen>()
  const acknowledged = attempts.filter(isAcknowledgement)
  for (const seen of [...applied, ...reads, ...acknowledged].filter(({ revision }) => revision > 0)) {
    const known = first.get(seen.tag)
    if (known === undefined || seen.toMs < known.toMs) first.set(seen.tag, seen)
  }
  return [...first.values()]
}

function judgeChain(history: OrderHistory, chain: readonly NetworkSeen[]): string[] {
  const defects: string[] = []
  const byRevision = new Map<number, number>()
  const byBase = new Map<number, number>()
  const bases = new Map(history.attempts.map(({ tag, ifMatch }) => [tag, ifMatch]))
  for (const { tag, revision } of chain) {
    const other = byRevision.get(revision)
    if (other !== undefined) defects.push(`orders ${String(other)} and ${String(tag)} both made revision ${String(revision)}`)
    byRevision.set(revision, tag)
    const base = bases.get(tag)
    if (base === undefined) {
      defects.push(`revision ${String(revision)} is none that was sent`)
      continue
    }
    const rival = byBase.get(base)
    if (rival !== undefined) defects.push(`orders ${String(rival)} and ${String(tag)} were both taken on revision ${String(base)}`)
    byBase.set(base, tag)
  }
  return defects
}

function judgeRealTime({ attempts, reads }: OrderHistory): string[] {
  const defects: string[] = []
  const acknowledged = attempts.filter(isAcknowledgement)
  for (const read of reads) {
    for (const earlier of [...reads, ...acknowledged])
      if (earlier.toMs < read.fromMs && earlier.revision > read.revision)
        defects.push(`a read gave revision ${String(read.revision)} after ${String(earlier.revision)} was known`)
    if (read.revision > 0 && !attempts.some((sent) => sent.tag === read.tag && sent.fromMs <= read.toMs))
      defects.push(`a read gave order ${String(read.tag)} before it was sent`)
  }
  return defects
}

function judgeRefusals({ attempts, reads }: OrderHistory, chain: readonly NetworkSeen[]): string[] {
  const defects: string[] = []
  const known = [...attempts.filter(isAcknowledgement), ...reads]
  for (const refused of attempts.filter(isRefusal)) {
    const { tag, ifMatch, fromMs, toMs } = refused
    const name = `order ${String(tag)} on revision ${String(ifMatch)}`
    const taken = chain.find((one) => one.tag === tag)
    const others = attempts.filter((one) => one.tag === tag && one !== refused)
    if (taken !== undefined && taken.toMs <= fromMs) defects.push(`${name} was taken and its repeat refused`)
    else if (taken !== undefined && others.every((one) => one.toMs < fromMs)) defects.push(`${name} was refused at last and is in force`)
    const wasCurrent = ifMatch === 0 || known.some((one) => one.revision === ifMatch && one.toMs < fromMs)
    const newer = new Set(chain.filter((one) => one.revision > ifMatch).map((one) => one.tag))
    if (wasCurrent && !attempts.some((one) => newer.has(one.tag) && one.fromMs <= toMs))
      defects.push(`${name} was refused though that revision was current`)
  }
  return defects
}

export function judgeOrders(history: OrderHistory): string[] {
  const chain = inForce(history)
  return [...judgeChain(history, chain), ...judgeRealTime(history), ...judgeRefusals(history, chain), ...history.zoneDefects]
}
