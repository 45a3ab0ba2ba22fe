/**
 * What model servers are asked and told besides requests: `GET /springpaddle/holds?tenure=N` gives a
 * report and lets the server remember the newest tenure; `POST /springpaddle/orders` hands it an
 * order, answered 202 when taken (again) and 409 when turned away: a server that can check turns away
 * an older tenure, and an older number of the same tenure, which is a copy that came late. How the
 * order ended is in the reports.
 */
import { Report } from '../gauge/Report.js'

export const ModelServerFormat = {
  holdsPath: (tenure: number) => `/springpaddle/holds?tenure=${String(tenure)}`,
  ordersPath: '/springpaddle/orders',

  report(body: string): Report | undefined {
    try {
      const read = Report.safeParse(JSON.parse(body))
      return read.success ? read.data : undefined
    } catch {
      return undefined
    }
  },

  reply(status: number): 'accepted' | 'turnedAway' | 'unknown' {
    return status === 202 ? 'accepted' : status === 409 ? 'turnedAway' : 'unknown'
  },
}
