/**
 * Reads answers off the bytes of one caller's connection, strictly: a caller sees no more and no less.
 */
interface Answer {
  status: number
  headers: Map<string, string>
  body: string
  whole: boolean
}

const lineEnd = '\r\n'

export class AnswerReader {
  /** All answers in the text, the last one perhaps not whole; bytes that are none end the reading. */
  static read(text: string): { answers: Answer[]; rest: string } {
    const answers: Answer[] = []
    let rest = text
    while (rest !== '') {
      const end = rest.indexOf(lineEnd + lineEnd)
      const match = /^HTTP\/1\.1 (\d{3}) /.exec(rest)
      if (end < 0 || match === null) break
      const lines = rest.slice(0, end).split(lineEnd).slice(1)
      const headers = new Map(
        lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]),
      )
      const { body, used, whole } = AnswerReader.#body(rest.slice(end + 4), headers)
      answers.push({ status: Number(match[1]), headers, body, whole })
      rest = rest.slice(end + 4 + used)
      if (!whole) return { answers, rest: '' }
    }
    return { answers, rest }
  }

  static #body(text: string, headers: ReadonlyMap<string, string>): { body: string; used: number; whole: boolean } {
    const length = headers.get('content-length')
    if (length !== undefined) {
      const body = text.slice(0, Number(length))
      return { body, used: body.length, whole: body.length === Number(length) }
    }
    let body = ''
    for (let at = 0; ;) {
      const end = text.indexOf(lineEnd, at)
      const size = parseInt(text.slice(at, end), 16)
      if (end < 0 || Number.isNaN(size) || text.length < end + 2 + size + 2) return { body, used: text.length, whole: false }
      body += text.slice(end + 2, end + 2 + size)
      at = end + 2 + size + 2
      if (size === 0) return { body, used: at, whole: true }
    }
  }
}
