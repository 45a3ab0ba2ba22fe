/**
 * A node of the relay tree as its followers see it: whoever follows is answered with what it lacks,
 * and is pushed what comes later until it falls silent. At equal stamps the digests are compared, and
 * a range that differs is mended.
 */
import type { Message } from '../transport/Message.js'
import { ReplicaTable } from './ReplicaTable.js'

export class Relay {
  readonly #silentMs: number
  readonly #followers = new Map<string, { stamp: number; heardMs: number }>()

  constructor(silentMs: number) {
    this.#silentMs = silentMs
  }

  followed(
    address: string,
    follow: Extract<Message, { kind: 'follow' }>,
    copy: ReplicaTable,
    nowMs: number,
  ): { toAddress: string; message: Message }[] {
    const sends: { toAddress: string; message: Message }[] = [{ toAddress: address, message: this.#news(follow.stamp, copy) }]
    this.#followers.set(address, { stamp: Math.max(follow.stamp, copy.stamp), heardMs: nowMs })
    if (follow.stamp === copy.stamp && follow.digests.length > 0) {
      copy.digests.forEach((sum, range) => {
        if (follow.digests[range] !== sum)
          sends.push({ toAddress: address, message: { kind: 'mend', stamp: copy.stamp, range, rows: copy.inRange(range) } })
      })
    }
    return sends
  }

  push(copy: ReplicaTable, nowMs: number): { toAddress: string; message: Message }[] {
    const sends: { toAddress: string; message: Message }[] = []
    for (const [address, follower] of this.#followers) {
      if (nowMs - follower.heardMs > this.#silentMs) this.#followers.delete(address)
      else if (follower.stamp < copy.stamp) {
        sends.push({ toAddress: address, message: this.#news(follower.stamp, copy) })
        follower.stamp = copy.stamp
      }
    }
    return sends
  }

  #news(since: number, copy: ReplicaTable): Message {
    return { kind: 'news', stamp: copy.stamp, since: Math.min(since, copy.stamp), rows: since < copy.stamp ? copy.since(since) : [] }
  }
}
