/**
 * What a run of a schedule brought to light: the invariant that broke, when, and how.
 */
export interface Finding {
  seed: number
  atMs: number
  invariant: string
  detail: string
}
