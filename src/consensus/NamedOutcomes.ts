/**
 * The outcomes of operations that their callers name: a repeated one is answered with the first outcome.
 * What took effect and what was refused are kept apart, so that refusals, however many, never push out
 * what took effect.
 */
import { z } from 'zod'
import { Outcome } from './Outcome.js'

const keptTaken = 4096
const keptRefused = 256
const Saved = z.array(z.tuple([z.string(), Outcome]))

function keep(outcomes: Map<string, Outcome>, operation: string, outcome: Outcome, most: number): void {
  outcomes.set(operation, outcome)
  const oldest = outcomes.keys().next().value
  if (outcomes.size > most && oldest !== undefined) outcomes.delete(oldest)
}

export class NamedOutcomes {
  static readonly Saved = Saved
  readonly #taken = new Map<string, Outcome>()
  readonly #refused = new Map<string, Outcome>()

  get(operation: string): Outcome | undefined {
    return this.#taken.get(operation) ?? this.#refused.get(operation)
  }

  settle(operation: string, outcome: Outcome): void {
    if (outcome.status === 200) keep(this.#taken, operation, outcome, keptTaken)
    else keep(this.#refused, operation, outcome, keptRefused)
  }

  save(): z.infer<typeof Saved> {
    return [...this.#taken, ...this.#refused]
  }

  restore(saved: z.infer<typeof Saved>): void {
    for (const [operation, outcome] of saved) this.settle(operation, outcome)
  }
}
