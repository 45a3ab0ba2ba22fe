/**
 * Decides by search whether a recorded history of reads and writes of one configuration is linearizable:
 * whether the calls can be put into one order that agrees with real time and in which each answer is what
 * the sequential specification gives. A call without an answer may have taken effect at any time after its
 * beginning, or never. Attempts of one operation share its name; only the first that succeeds has an effect.
 * After Wing and Gong, with the memory of visited states of Lowe.
 */
import type { Call } from './Call.js'

interface Configuration {
  revision: number
  writer: string
  /** One bit for each operation that took effect. */
  done: bigint
}
type Answer = NonNullable<Call['answer']>

export function linearizable(calls: readonly Call[]): boolean {
  const all = [...calls.filter((call) => call.answer !== undefined), ...open(calls)].sort((a, b) => a.fromMs - b.fromMs)
  const operations = new Map([...new Set(all.map((call) => call.operation))].map((operation, at) => [operation, 1n << BigInt(at)]))
  const bits = all.map((_, at) => 1n << BigInt(at))
  const answered = all.reduce((mask, call, at) => (call.answer === undefined ? mask : mask | (bits[at] ?? 0n)), 0n)
  const visited = new Set<string>()

  function apply(call: Call, state: Configuration): { answer: Answer; next: Configuration } {
    if (call.kind === 'read') return { answer: { status: 200, revision: state.revision, writer: state.writer }, next: state }
    const bit = operations.get(call.operation) ?? 0n
    const answer = (status: number) => ({ status, revision: 0, writer: '' })
    if ((state.done & bit) !== 0n) return { answer: answer(200), next: state }
    if (call.ifMatch >= 0 && call.ifMatch !== state.revision) return { answer: answer(412), next: state }
    if (call.revision <= state.revision) return { answer: answer(422), next: state }
    return { answer: answer(200), next: { revision: call.revision, writer: call.operation, done: state.done | bit } }
  }

  function search(taken: bigint, state: Configuration): boolean {
    if ((taken & answered) === answered) return true
    const key = `${(taken & answered).toString(36)} ${String(state.revision)} ${state.writer} ${state.done.toString(36)}`
    if (visited.has(key)) return false
    visited.add(key)
    let firstEndMs = Infinity
    for (const [at, call] of all.entries()) {
      if ((taken & (bits[at] ?? 0n)) !== 0n) continue
      if (call.fromMs > firstEndMs) break
      if (call.answer !== undefined) firstEndMs = Math.min(firstEndMs, call.toMs)
    }
    for (const [at, call] of all.entries()) {
      if (call.fromMs > firstEndMs) break
      if ((taken & (bits[at] ?? 0n)) !== 0n) continue
      const { answer, next } = apply(call, state)
      if (call.answer === undefined ? next === state : !same(call.answer, answer)) continue
      if (search(taken | (bits[at] ?? 0n), next)) return true
    }
    return false
  }
  return search(0n, { revision: 0, writer: '', done: 0n })
}

/** Of the unanswered attempts of a write the first alone counts: it could take effect whenever a later one could. */
function open(calls: readonly Call[]): Call[] {
  const first = new Map<string, Call>()
  for (const call of calls) {
    if (call.kind !== 'write' || call.answer !== undefined) continue
    const earlier = first.get(call.operation)
    if (earlier === undefined || call.fromMs < earlier.fromMs) first.set(call.operation, call)
  }
  return [...first.values()]
}

function same(a: Answer, b: Answer): boolean {
  return a.status === b.status && a.revision === b.revision && a.writer === b.writer
}
