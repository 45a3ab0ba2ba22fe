/**
 * What a simulated run is made of. `broken` names a rule to break on purpose, so that the checker can be
 * seen to bite.
 */
import type { SimFault } from './SimFault.js'
import type { Message } from '../transport/Message.js'
import type { Policy } from '../placement/Policy.js'
import type { Deployment } from './Deployment.js'

export interface SimOptions {
  deployment: Deployment
  seed: number
  faults: readonly string[]
  calmMs: number
  faultMs: number
  quietMs: number
  broken: string
  crowd: number
  /** How many models and services a growing charter gains. */
  grows: number
  together: boolean
  uncheckedEpoch: boolean
  policy: Policy
  /** Told of every message between processes, for measurements. */
  meter?: (fromHost: string, toHost: string, message: Message) => void
  /** Faults at their own times, in the place of `faults`: a storm. */
  storm?: readonly SimFault[]
}
