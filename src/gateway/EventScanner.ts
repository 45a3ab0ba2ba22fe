/**
 * Cuts a stream of server-sent events into whole ones and reads their ids, which rise. What comes of an
 * event that is not whole yet is kept back, so that a stream broken off in the midst of one can go on
 * elsewhere. An event whose id does not lie beyond the last one ends the reading: what follows was sent
 * before, or belongs to another run. So does an event that is too long. Each byte is looked at once,
 * whatever the pieces in which it comes.
 */
import { ByteBuffer } from '../common/ByteBuffer.js'

interface Scanned {
  text: string
  id: string | undefined
  /** False of comments, which take no place in the stream. */
  data: boolean
}

const eventBytes = 1_000_000
const lineFeed = 0x0a
const carriageReturn = 0x0d

function rises(id: string, last: string): boolean {
  return /^\d{1,15}$/.test(id) && /^\d{1,15}$/.test(last) ? Number(id) > Number(last) : id !== last
}

export class EventScanner {
  /** What has come of an event that is not whole yet. */
  readonly #rest = new ByteBuffer(eventBytes)
  /** Of that event: whether a line of it has ended, how long the line after that is so far, and its last byte. */
  #hasLine = false
  #lineBytes = 0
  #lastByte = 0
  #last: string | undefined
  #rewound = false
  #overlong = false

  /** `last` is the event after which the stream was asked to go on. */
  constructor(last: string | undefined) {
    this.#last = last
  }

  get partial(): boolean {
    return this.#rest.length > 0
  }

  get rewound(): boolean {
    return this.#rewound
  }

  /** True once an event was longer than any may be. */
  get overlong(): boolean {
    return this.#overlong
  }

  take(chunk: Buffer): Scanned[] {
    if (this.#rewound || this.#overlong) return []
    const events: Scanned[] = []
    let eventAt = 0
    let lineAt = 0
    for (let feed = chunk.indexOf(lineFeed); feed >= 0; feed = chunk.indexOf(lineFeed, lineAt)) {
      const ends = this.#hasLine && this.#isBlank(chunk, lineAt, feed)
      this.#hasLine = !ends
      this.#lineBytes = 0
      lineAt = feed + 1
      if (!ends) continue
      const event = this.#whole(chunk.subarray(eventAt, lineAt))
      if (event === undefined) return events
      events.push(event)
      eventAt = lineAt
    }
    this.#keep(chunk, eventAt, lineAt)
    return events
  }

  /** Whether the line that ends at `feed` holds nothing, but for the first half of its end. */
  #isBlank(chunk: Buffer, lineAt: number, feed: number): boolean {
    const bytes = this.#lineBytes + feed - lineAt
    if (bytes === 0) return true
    const before = feed > lineAt ? chunk[feed - 1] : this.#lastByte
    return bytes === 1 && before === carriageReturn
  }

  /** The event that ends with these bytes, unless the reading ends with it. */
  #whole(end: Buffer): Scanned | undefined {
    const text = this.#textOf(end)
    if (text === undefined) return undefined
    const id = /(?:^|\n)id: ?([^\r\n]*)/.exec(text)?.[1]
    if (id !== undefined && this.#last !== undefined && !rises(id, this.#last)) {
      this.#rewound = true
      return undefined
    }
    this.#last = id ?? this.#last
    return { text, id, data: /(?:^|\n)data/.test(text) }
  }

  #textOf(end: Buffer): string | undefined {
    if (!this.#rest.append(end)) {
      this.#overlong = true
      return undefined
    }
    const text = this.#rest.bytes.toString('latin1')
    this.#rest.clear()
    return text
  }

  #keep(chunk: Buffer, eventAt: number, lineAt: number): void {
    if (eventAt === chunk.length) return
    this.#lineBytes += chunk.length - lineAt
    this.#lastByte = chunk[chunk.length - 1] ?? 0
    if (!this.#rest.append(chunk.subarray(eventAt))) this.#overlong = true
  }
}
