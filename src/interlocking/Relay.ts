/**
 * A node of the relay tree as its followers see it: whoever follows is answered with what it lacks,
 * and is pushed what comes later until it falls silent. At equal stamps the digests are compared, and
 * a range that differs is mended.
 */
import { deepStrictEqual, strictEqual } from 'node:assert'
import { proof } from '../gauge/proof.js'
import type { Message } from '../telegraph/Message.js'
import { Copy } from './Copy.js'

export class Relay {
  readonly #silentMs: number
  readonly #followers = new Map<string, { stamp: number; heardMs: number }>()

  constructor(silentMs: number) {
    this.#silentMs = silentMs
  }

  followed(
    address: string,
    follow: Extract<Message, { kind: 'follow' }>,
    copy: Copy,
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

  push(copy: Copy, nowMs: number): { toAddress: string; message: Message }[] {
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

  #news(since: number, copy: Copy): Message {
    return { kind: 'news', stamp: copy.stamp, since: Math.min(since, copy.stamp), rows: since < copy.stamp ? copy.since(since) : [] }
  }
}

proof(import.meta.url, {
  'a follower gets what it lacks, then what comes, until it is silent': () => {
    const copy = new Copy()
    const relay = new Relay(100)
    copy.set({ key: 'a', stamp: 1, gone: false, value: '1' })
    const follow = (stamp: number, digests: number[] = []) =>
      relay.followed('x', { kind: 'follow', seat: 's', stamp, sentMs: 0, digests }, copy, 0)
    deepStrictEqual(follow(0)[0]?.message, { kind: 'news', stamp: 1, since: 0, rows: copy.since(0) })
    strictEqual(relay.push(copy, 10).length, 0)
    copy.set({ key: 'b', stamp: 2, gone: false, value: '2' })
    deepStrictEqual(relay.push(copy, 20)[0]?.message, { kind: 'news', stamp: 2, since: 1, rows: copy.since(1) })
    strictEqual(follow(2, copy.digests).length, 1)
    strictEqual(
      follow(
        2,
        copy.digests.map((sum) => sum + 1),
      ).length,
      17,
    )
    copy.set({ key: 'c', stamp: 3, gone: false, value: '3' })
    strictEqual(relay.push(copy, 200).length, 0)
  },
})
