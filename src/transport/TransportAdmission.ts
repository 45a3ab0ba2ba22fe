/**
 * What a transport takes on from others at a time.
 */
import type { GarbagePacer } from '../common/admission/GarbagePacer.js'

export interface TransportAdmission {
  /** The most connections that others make. */
  readonly connections: number
  /** The most that is held of frames of connections that have brought no message yet, in bytes. */
  readonly strangersBytes: number
  readonly garbage: GarbagePacer
}
