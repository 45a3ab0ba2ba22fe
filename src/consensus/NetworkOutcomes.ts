/**
 * Which operations made the revisions of the network, and which refusals a later state might overturn.
 *
 * An operation is named by its content, so a repeat of one that was taken is found here and acknowledged
 * again. The newest one is always known. Of older ones the last `keptRevisions` are; below the newest
 * revision that was forgotten a repeat can't be told from a new write, so it gets no judgement (503).
 *
 * Refusals are not kept, for they are final: the current revision only rises, so what named a lower one, or
 * was invalid on top of the one it named, can never be taken later. The exceptions are a write that names a
 * revision above the current one, and an unguarded change whose base may still change. These are kept with
 * the index that refused them: a copy of the same content that came in at a node which had not applied that
 * index may be a delayed one, and does nothing. When there are too many to keep, no more are refused.
 */
import { z } from 'zod'
import { Outcome } from './Outcome.js'

const keptRevisions = 1024
const keptRefusals = 256
const unguarded = -1

const Revision = z.object({ operation: z.string(), stamp: z.number(), revision: z.number() })
const Refusal = z.object({ operation: z.string(), index: z.number(), ifMatch: z.number() })
const Saved = z.object({ revisions: z.array(Revision), refusals: z.array(Refusal), forgotten: z.number() })

export class NetworkOutcomes {
  static readonly Saved = Saved
  readonly #revisions = new Map<string, z.infer<typeof Revision>>()
  readonly #refusals = new Map<string, z.infer<typeof Refusal>>()
  /** The newest revision whose operation was forgotten. */
  #forgotten = 0

  /** How an operation that made a revision ended. */
  taken(operation: string): Outcome | undefined {
    const made = this.#revisions.get(operation)
    return made === undefined ? undefined : { status: 200, stamp: made.stamp, errors: [] }
  }

  take(operation: string, stamp: number, revision: number): void {
    this.#revisions.set(operation, { operation, stamp, revision })
    this.#refusals.delete(operation)
    for (const [name, { ifMatch }] of this.#refusals) if (ifMatch !== unguarded && ifMatch < revision) this.#refusals.delete(name)
    const oldest = this.#revisions.values().next().value
    if (this.#revisions.size <= keptRevisions || oldest === undefined) return
    this.#revisions.delete(oldest.operation)
    this.#forgotten = oldest.revision
  }

  /** True of a copy that came in before a refusal of the same content was known where it came in. */
  outdated(operation: string, basis: number): boolean {
    const refusal = this.#refusals.get(operation)
    return refusal !== undefined && basis < refusal.index
  }

  /** True where an operation that would make this revision may have been taken and forgotten. */
  mayHaveTaken(revision: number): boolean {
    return revision > 0 && revision <= this.#forgotten
  }

  /** True where it is known which operation, if any, was taken on top of this revision. */
  knowsSuccessor(revision: number): boolean {
    return revision >= this.#forgotten
  }

  /** Notes a refusal that a later state might overturn; false when there is no room to note it. */
  noteRefusal(operation: string, index: number, ifMatch: number): boolean {
    if (!this.#refusals.has(operation) && this.#refusals.size >= keptRefusals) return false
    this.#refusals.set(operation, { operation, index, ifMatch })
    return true
  }

  save(): z.infer<typeof Saved> {
    return { revisions: [...this.#revisions.values()], refusals: [...this.#refusals.values()], forgotten: this.#forgotten }
  }

  restore(saved: z.infer<typeof Saved>): void {
    for (const made of saved.revisions) this.#revisions.set(made.operation, made)
    for (const refusal of saved.refusals) this.#refusals.set(refusal.operation, refusal)
    this.#forgotten = saved.forgotten
  }
}
