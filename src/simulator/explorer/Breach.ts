/**
 * An invariant that does not hold, thrown at the step that broke it.
 */
export class Breach extends Error {
  readonly invariant: string

  constructor(invariant: string, detail: string) {
    super(detail)
    this.invariant = invariant
  }
}
