/**
 * Checks a history of the operators' reads and writes for linearizability. Each write that took effect
 * carries a stamp, which witnesses the order; so the history is linearizable exactly when (1) that order
 * agrees with real time: what ended before another began comes before it; (2) carrying the writes out one
 * after the other gives, at every stamp, the very content that was read; (3) each conditional write that
 * took effect met the stamp it named, and each one turned away for its condition had a moment, between its
 * beginning and its end, at which the stamp was another. That all
 * acknowledged writes are in the history is checked beside it.
 */
import { digest } from '../common/digest.js'
import { Tree } from '../common/Tree.js'
import type { Observation } from './Observation.js'

type Of<K extends Observation['kind']> = Extract<Observation, { kind: K }>

export function linear(observations: readonly Observation[]): string[] {
  const defects: string[] = []
  const of = <K extends Observation['kind']>(kind: K): Of<K>[] => observations.filter((one): one is Of<K> => one.kind === kind)
  const history = of('history').at(-1)?.entries
  if (history === undefined) return defects
  const wrote = new Map(of('wrote').map((one) => [one.operation, one]))
  const ended = new Map(of('acknowledged').map((one) => [one.operation, one]))
  const wholes = new Map(of('wholeBack').map((one) => [one.stamp, one.text]))

  let before = 0
  let content: string | undefined
  const stamps = new Map<string, number>()
  for (const { stamp, operation } of history) {
    const write = wrote.get(operation)
    const whole = wholes.get(stamp)
    if (write === undefined) defects.push(`${operation} at stamp ${String(stamp)} was never written`)
    else if (stamps.has(operation)) defects.push(`${operation} took effect twice`)
    else {
      if (write.ifMatch >= 0 && write.ifMatch !== before)
        defects.push(`${operation} took effect at ${String(before)}, though it named ${String(write.ifMatch)}`)
      content = carryOut(content, write, wholes)
      if (whole === undefined) defects.push(`stamp ${String(stamp)} cannot be read back`)
      else if (content !== whole) defects.push(`stamp ${String(stamp)} is not what ${operation} makes of ${String(before)}`)
    }
    stamps.set(operation, stamp)
    content = whole ?? content
    before = stamp
  }

  const done = [...stamps].flatMap(([operation, stamp]) => {
    const fromMs = wrote.get(operation)?.atMs
    return fromMs === undefined ? [] : [{ what: operation, stamp, fromMs, toMs: ended.get(operation)?.atMs ?? Infinity, writes: true }]
  })
  const reads = of('read').map((one) => ({
    what: `a read of ${String(one.stamp)}`,
    stamp: one.stamp,
    fromMs: one.fromMs,
    toMs: one.atMs,
    writes: false,
  }))
  const all = [...done, ...reads].sort((a, b) => a.fromMs - b.fromMs)
  const ends = [...all].sort((a, b) => a.toMs - b.toMs)
  let seen = 0
  let highest = { stamp: 0, what: '' }
  for (const one of all) {
    for (let next = ends[seen]; next !== undefined && next.toMs < one.fromMs; next = ends[++seen])
      if (next.stamp > highest.stamp) highest = next
    if (one.stamp < highest.stamp || (one.writes && one.stamp === highest.stamp))
      defects.push(`${one.what} comes before ${highest.what}, which had ended when it began`)
  }
  for (const read of of('read')) {
    const whole = wholes.get(read.stamp)
    if (whole !== undefined && digest(whole) !== read.sum) defects.push(`a read gave other content than stamp ${String(read.stamp)} has`)
    if (whole === undefined && read.stamp > 0) defects.push(`a read gave stamp ${String(read.stamp)}, which no write made`)
  }
  for (const not of of('notTaken')) {
    const write = wrote.get(not.operation)
    if (write === undefined || not.status !== 412) continue
    const least = Math.max(0, ...done.filter((one) => one.toMs < write.atMs).map((one) => one.stamp))
    const later = done.some((one) => one.fromMs < not.atMs && one.stamp > write.ifMatch)
    if (least === write.ifMatch && !later)
      defects.push(`${not.operation} was turned away for stamp ${String(write.ifMatch)}, which was the current one all the while`)
  }
  return defects
}

function carryOut(content: string | undefined, write: Of<'wrote'>, wholes: ReadonlyMap<number, string>): string | undefined {
  if (write.action === 'charter.rollback') return wholes.get(Number(write.text))
  const base = content === undefined ? undefined : Tree.read(content)
  const sent = Tree.read(write.text)
  if (sent === undefined) return undefined
  const path = write.branch === '' ? [] : write.branch.split('.')
  if (write.action === 'charter.put' && path.length === 0) return write.text
  const tree =
    write.action === 'charter.patch' ? Tree.replace(base, path, Tree.merge(Tree.at(base, path), sent)) : Tree.replace(base, path, sent)
  return `${JSON.stringify(tree, null, 2)}\n`
}
