/**
 * What callers say and hear. A model request is `POST /v1/models/NAME` with JSON that names an
 * adapter or none and a chain of prompt parts; a service request is any method on
 * `/v1/services/NAME/...`. `due-ms` is how long the caller will wait. A request that got no whole
 * answer is told by a status, `verdict`, and `retry-after` in seconds. `request-id` is the caller's own, or
 * is given here; it comes back with the answer and stands in logs and traces.
 */
import { Either, Left, Right } from 'purify-ts'
import { z } from 'zod'
import { digest } from '../common/digest.js'

const Body = z.looseObject({ adapter: z.string().max(200).default(''), parts: z.array(z.string()).max(1000).default([]) })
type Target = { kind: 'model'; name: string; adapter: string; chain: string[] } | { kind: 'service'; name: string; rest: string }

export const CallerFormat = {
  verdictHeader: 'verdict',
  dueHeader: 'due-ms',
  idHeader: 'request-id',

  /** The caller's own id for a request, if it is a plain one. */
  id(header: string | string[] | undefined): string | undefined {
    return typeof header === 'string' && /^[A-Za-z0-9._:-]{1,100}$/.test(header) ? header : undefined
  },

  /** A model's or a service's name out of the path, or nothing. */
  path(url: string): { kind: 'model'; name: string } | { kind: 'service'; name: string; rest: string } | undefined {
    const match = /^\/v1\/(models|services)\/([A-Za-z0-9._-]+)(\/[^\s]*|\?[^\s]*)?$/.exec(url)
    const name = match?.[2]
    if (match === null || name === undefined) return undefined
    if (match[1] === 'services') return { kind: 'service', name, rest: match[3] ?? '/' }
    return match[3] === undefined || match[3] === '/' ? { kind: 'model', name } : undefined
  },

  due(header: string | string[] | undefined): Either<string, number | undefined> {
    if (header === undefined) return Right(undefined)
    const ms = typeof header === 'string' && /^-?\d{1,12}$/.test(header) ? Number(header) : NaN
    if (Number.isNaN(ms)) return Left('due-ms: must be a whole number of milliseconds')
    return ms <= 0 ? Left('due-ms: is already past') : Right(ms)
  },

  /** The adapter and the chain of prompt parts, each link standing for the parts up to it. */
  model(name: string, body: Uint8Array): Either<string, Target> {
    let json: unknown
    try {
      json = JSON.parse(Buffer.from(body).toString())
    } catch {
      return Left('body: not JSON')
    }
    const read = Body.safeParse(json)
    if (!read.success) return Left(read.error.issues.map((issue) => `body.${issue.path.join('.')}: ${issue.message}`).join('; '))
    let link = 0
    const chain = read.data.parts.map((part) => {
      link = digest(`${String(link)}\n${part}`)
      return link.toString(36)
    })
    return Right({ kind: 'model', name, adapter: read.data.adapter, chain })
  },
}
export type CallerFormat = Target
