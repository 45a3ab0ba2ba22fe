/**
 * A connection as the turns of reading see it.
 */
import type { SocketHold } from './SocketHold.js'

export interface TurnReader {
  readonly hold: SocketHold
  /** Whether its bodies come in so small pieces that one reading of it fills a turn. */
  isCostly: boolean
  /** Whether it is held up for another reason. */
  readonly isBlocked: boolean
}
