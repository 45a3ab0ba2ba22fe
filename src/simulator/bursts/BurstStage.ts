/**
 * A fleet that serves, and who sends large messages to which of its nodes.
 */
import type { SoakFleet } from '../soak/SoakFleet.js'
import type { SoakSeat } from '../soak/SoakSeat.js'
import type { BurstSender } from './BurstSender.js'

export interface BurstStage {
  readonly fleet: SoakFleet
  readonly sender: BurstSender
  readonly control: SoakSeat
  readonly gateway: SoakSeat
}
