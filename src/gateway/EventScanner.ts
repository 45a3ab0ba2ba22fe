/**
 * Cuts a stream of server-sent events into whole ones and reads their ids. What comes of an event that is
 * not whole yet is kept back, so that a stream broken off in the midst of one can go on elsewhere.
 */
export class EventScanner {
  #rest = ''

  get partial(): boolean {
    return this.#rest !== ''
  }

  take(chunk: Buffer): { text: string; id: string | undefined }[] {
    const text = this.#rest + chunk.toString('latin1')
    const events: { text: string; id: string | undefined }[] = []
    let at = 0
    const end = /\r?\n\r?\n/g
    for (let match = end.exec(text); match !== null; match = end.exec(text)) {
      const event = text.slice(at, match.index + match[0].length)
      at = match.index + match[0].length
      events.push({ text: event, id: /(?:^|\n)id: ?([^\r\n]*)/.exec(event)?.[1] })
    }
    this.#rest = text.slice(at)
    return events
  }
}
