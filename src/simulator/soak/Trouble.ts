/**
 * One trouble of a soak: what it is, to whom, and from when to when after traffic has begun.
 */
import type { troubleKinds } from './troubleKinds.js'

export interface Trouble {
  kind: (typeof troubleKinds)[number]
  /** A process or a server; empty when it is about all of them. */
  target: string
  fromMs: number
  toMs: number
}
