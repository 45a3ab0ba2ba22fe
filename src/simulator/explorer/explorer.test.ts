/**
 * The consensus log and its state hold their invariants over a few thousand schedules; a schedule gives the
 * same run each time, and a finding is shrunk to what it needs.
 */
import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Raft } from '../../consensus/Raft.js'
import { ClusterParts } from './ClusterParts.js'
import { explore } from './explore.js'
import type { Finding } from './Finding.js'
import { generateSchedule } from './generateSchedule.js'
import { runSchedule } from './runSchedule.js'
import { shrinkSchedule } from './shrinkSchedule.js'

const schedules = 2000
const firstSeed = 500_000

class TwoChangesAtOnce extends Raft {
  override get changing(): boolean {
    return false
  }
}

void test('no invariant breaks', () => {
  const findings: Finding[] = []
  explore(firstSeed, schedules, (finding) => findings.push(finding) < 3)
  deepStrictEqual(findings, [])
})

void test('a schedule gives the same run each time', () => {
  const trace = (seed: number) => {
    const taken: string[] = []
    class Traced extends Raft {
      override take() {
        const out = super.take()
        taken.push(`${this.identity} ${this.phase} ${String(this.term)} ${String(this.commit)} ${String(out.sends.length)}`)
        return out
      }
    }
    strictEqual(runSchedule(generateSchedule(seed), { ...ClusterParts, raft: (...given) => new Traced(...given) }), undefined)
    return taken
  }
  for (let seed = 1; seed <= 20; seed++) deepStrictEqual(trace(seed), trace(seed))
})

void test('a finding is shrunk to a schedule that breaks the same invariant', () => {
  const parts: ClusterParts = { ...ClusterParts, raft: (...given) => new TwoChangesAtOnce(...given) }
  const found: Finding[] = []
  explore(1, 500, (finding) => found.push(finding) < 1, parts)
  const [finding] = found
  ok(finding !== undefined)
  const whole = generateSchedule(finding.seed)
  const small = shrinkSchedule(whole, finding.invariant, parts)
  ok(small.events.length < whole.events.length)
  strictEqual(runSchedule(small, parts)?.invariant, finding.invariant)
})
