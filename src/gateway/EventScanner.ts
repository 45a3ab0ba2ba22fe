/**
 * Cuts a stream of server-sent events into whole ones and reads their ids, which rise. What comes of an
 * event that is not whole yet is kept back, so that a stream broken off in the midst of one can go on
 * elsewhere. An event whose id does not lie beyond the last one ends the reading: what follows was sent
 * before, or belongs to another run.
 */
interface Scanned {
  text: string
  id: string | undefined
  /** False of comments, which take no place in the stream. */
  data: boolean
}

function rises(id: string, last: string): boolean {
  return /^\d{1,15}$/.test(id) && /^\d{1,15}$/.test(last) ? Number(id) > Number(last) : id !== last
}

export class EventScanner {
  #rest = ''
  #last: string | undefined
  #rewound = false

  /** `last` is the event after which the stream was asked to go on. */
  constructor(last: string | undefined) {
    this.#last = last
  }

  get partial(): boolean {
    return this.#rest !== ''
  }

  get rewound(): boolean {
    return this.#rewound
  }

  take(chunk: Buffer): Scanned[] {
    if (this.#rewound) return []
    const text = this.#rest + chunk.toString('latin1')
    const events: Scanned[] = []
    let at = 0
    const end = /\r?\n\r?\n/g
    for (let match = end.exec(text); match !== null; match = end.exec(text)) {
      const event = text.slice(at, match.index + match[0].length)
      at = match.index + match[0].length
      const id = /(?:^|\n)id: ?([^\r\n]*)/.exec(event)?.[1]
      if (id !== undefined && this.#last !== undefined && !rises(id, this.#last)) {
        this.#rewound = true
        return events
      }
      this.#last = id ?? this.#last
      events.push({ text: event, id, data: /(?:^|\n)data/.test(event) })
    }
    this.#rest = text.slice(at)
    return events
  }
}
