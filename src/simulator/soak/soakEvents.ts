/**
 * The events of a stream of the soak: each names its number, its request and the run that made it.
 */
const eventsEach = 6
const pattern = /id: (\d+)\ndata: (\S+) (\S+)\n\n/g

interface Read {
  number: number
  id: string
  seal: string
}

export const soakEvents = {
  count: eventsEach,

  of(id: string, seal: string, resumeAfter: number): string[] {
    const numbers = Array.from({ length: Math.max(0, eventsEach - resumeAfter) }, (_, at) => resumeAfter + at + 1)
    return numbers.map((number) => `id: ${String(number)}\ndata: ${id} ${seal}\n\n`)
  },

  /** The whole events of a body; nothing when it holds anything else between or after them. */
  read(body: string): Read[] | undefined {
    const events = [...body.matchAll(pattern)]
    if (events.map(([text]) => text).join('') !== body) return undefined
    return events.map(([, number, id = '', seal = '']) => ({ number: Number(number), id, seal }))
  },
}
