/**
 * What model servers are asked and told besides requests: `GET /springpaddle/holds?epoch=N` gives a
 * report and lets the server remember the newest epoch; `POST /springpaddle/orders` hands it an
 * order, answered 202 when taken (again) and 409 when turned away: a server that can check turns away
 * an older epoch, and an older number of the same epoch, which is a copy that came late. How the
 * order ended is in the reports.
 */
import { Report } from '../common/Report.js'

export const ModelServerFormat = {
  holdsPath: (epoch: number) => `/springpaddle/holds?epoch=${String(epoch)}`,
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
