/**
 * Lets one large change of the configuration at a time be parsed and judged, as that takes many times its bytes in memory.
 */
import { E_TIMEOUT, Mutex, withTimeout } from 'async-mutex'

export class LargeChanges {
  readonly #turn = new Mutex()

  /** Waits for a turn, `waitMs` milliseconds at the most; gives what ends it, or undefined where none came. */
  async takeTurn(waitMs: number): Promise<(() => void) | undefined> {
    try {
      return await withTimeout(this.#turn, waitMs).acquire()
    } catch (error) {
      if (error === E_TIMEOUT) return undefined
      throw error
    }
  }
}
