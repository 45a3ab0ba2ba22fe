/**
 * Blocks of one size in which large messages are gathered, used again once a message is done: what is held then depends on the messages
 * under way alone, and not on when V8 collects what earlier ones left behind.
 */
const blockBytes = 65_536
/** Free blocks that are kept. */
const mostFree = 128

const free: Buffer[] = []

export const BlockPool = {
  blockBytes,

  /** A block whose bytes are of no meaning. */
  take(): Buffer {
    return free.pop() ?? Buffer.allocUnsafeSlow(blockBytes)
  },

  /** Gives back blocks that nobody reads any more. */
  giveBack(blocks: readonly Buffer[]): void {
    for (const block of blocks) if (free.length < mostFree) free.push(block)
  },
}
