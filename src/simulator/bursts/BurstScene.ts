/**
 * One scene of large messages that come together: what is sent, and how each was answered.
 */
import type { BurstStage } from './BurstStage.js'

export interface BurstScene {
  readonly name: string
  /** Sends everything, and gives the status of each answer; 0 where none came. */
  readonly send: (stage: BurstStage) => Promise<number[]>
}
