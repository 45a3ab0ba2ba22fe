/**
 * The operators of a simulated run: they write and read at any control node, ask again by the same
 * operation id until told how a write ended, and note what they saw.
 */
import type { Operation } from '../control/Operation.js'
import { digest } from '../common/digest.js'
import type { Simulation } from './Simulation.js'

type Action = 'charter.put' | 'charter.patch' | 'charter.rollback'
interface Write {
  operation: string
  action: Action
  branch: string
  text: string
  ifMatch: number
}

export class SimOperators {
  readonly #sim: Simulation
  readonly #open = new Map<string, (status: number, stamp: number, text: string) => void>()
  #operated = 0
  #named = 0

  constructor(sim: Simulation) {
    this.#sim = sim
  }

  /** A name for an operation that no other has. */
  name(): string {
    this.#named += 1
    return `fault-${String(this.#named)}`
  }

  /** A control node responded. */
  responded(id: string, status: number, stamp: number, text: string): void {
    this.#open.get(id)?.(status, stamp, text)
    this.#open.delete(id)
  }

  operate(node: string, operation: Operation, done: (status: number, stamp: number, text: string) => void): void {
    const { clock, controlPlane } = this.#sim
    this.#operated += 1
    const id = `${operation.operation}-${String(this.#operated)}`
    this.#open.set(id, done)
    clock.after(controlPlane.nodes.get(node)?.process.alive === true ? operation.waitMs + 200 : 20, () => {
      if (this.#open.delete(id)) done(504, 0, '')
    })
    clock.after(1, () => {
      controlPlane.nodes.get(node)?.process.deliver({ kind: 'operate', id, operation })
    })
  }

  /** Reads the charter at some control node; notes nothing when it could not tell in time. */
  read(): void {
    const { controlPlane, random, clock, options, timings, see } = this.#sim
    const fromMs = clock.nowMs
    const node = random.pick([...controlPlane.nodes.keys()]) ?? ''
    const got = (stamp: number, text: string) => {
      see({ kind: 'read', fromMs, atMs: clock.nowMs, stamp, sum: digest(text) })
    }
    if (options.broken === 'reads') {
      const replicatedState = controlPlane.nodes.get(node)?.process.machine?.replicatedState
      if (replicatedState !== undefined) got(replicatedState.charterStamp, replicatedState.whole(replicatedState.charterStamp) ?? '')
      return
    }
    this.operate(
      node,
      { action: 'charter.get', branch: '', text: '', ifMatch: -1, operation: '', waitMs: timings.askMs, leaderMs: timings.askMs },
      (status, stamp, text) => {
        if (status === 200) got(stamp, text)
      },
    )
  }

  write(write: Write, settled: (status: number, stamp: number) => void): void {
    const { controlPlane, random, clock, timings, see } = this.#sim
    see({ kind: 'wrote', atMs: clock.nowMs, ...write })
    const { operation } = write
    const names = [...controlPlane.nodes.keys()]
    let at = random.below(names.length)
    const again = () => {
      at += 1
      this.operate(names[at % names.length] ?? '', { ...write, waitMs: timings.askMs, leaderMs: timings.askMs }, (status, stamp) => {
        if (status === 504) {
          see({ kind: 'undecided', atMs: clock.nowMs, operation })
          again()
          return
        }
        if (status === 200) see({ kind: 'acknowledged', atMs: clock.nowMs, operation, stamp })
        else see({ kind: 'notTaken', atMs: clock.nowMs, operation, status })
        settled(status, stamp)
      })
    }
    again()
  }
}
