/**
 * The mechanisms that are switched on: all of them, unless the settings say otherwise.
 */
import { Mechanism } from './Mechanism.js'

export class Mechanisms {
  static readonly all = new Mechanisms(new Set(Mechanism.options))
  readonly #on: ReadonlySet<Mechanism>

  private constructor(on: ReadonlySet<Mechanism>) {
    this.#on = on
  }

  static without(off: readonly Mechanism[]): Mechanisms {
    return off.length === 0 ? Mechanisms.all : new Mechanisms(new Set(Mechanism.options.filter((one) => !off.includes(one))))
  }

  has(mechanism: Mechanism): boolean {
    return this.#on.has(mechanism)
  }
}
