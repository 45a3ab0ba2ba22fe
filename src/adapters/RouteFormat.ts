/**
 * The product's own format on routes. Callers say `request-id`, `due-ms`, `resume-after`, `model`
 * (an adapter may follow a slash), `tokens: PROMPT,OUTPUT` and `parts: ID:TOKENS,...`. Servers are told
 * `for-server`, `due-ms` and `urgency`, and answer with the `request-id`, a `seal`, and `verdict: NotRun`
 * where they did not run the request.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { Verdict } from '../common/Verdict.js'
import type { Arrival } from './Arrival.js'
import type { Onward } from './Onward.js'
import type { Reply } from './Reply.js'
import type { RouteCodec } from './RouteCodec.js'
import { passedOn } from './passedOn.js'

const text = (value: string | string[] | undefined) => (typeof value === 'string' ? value : (value?.[0] ?? ''))
const whole = (value: string | undefined) => (value !== undefined && /^\d{1,12}$/.test(value) ? Number(value) : 0)

export const RouteFormat: RouteCodec = {
  arrival(headers: IncomingHttpHeaders): Arrival {
    const [model = '', adapter = ''] = text(headers['model']).split('/')
    const [prompt, output] = text(headers['tokens']).split(',')
    const due = text(headers['due-ms'])
    const resumeAfter = text(headers['resume-after'])
    return {
      id: text(headers['request-id']),
      dueInMs: /^\d{1,12}$/.test(due) ? Number(due) : undefined,
      resumeAfter: resumeAfter === '' ? undefined : resumeAfter,
      model,
      adapter,
      promptTokens: whole(prompt),
      outputTokens: whole(output),
      parts: text(headers['parts'])
        .split(',')
        .filter((part) => part !== '')
        .map((part) => ({ id: part.split(':')[0] ?? '', tokens: whole(part.split(':')[1]) })),
    }
  },

  onward(headers: IncomingHttpHeaders, onward: Onward): Record<string, string | string[]> {
    const sent = passedOn(headers)
    sent['due-ms'] = String(Math.max(1, Math.floor(onward.leftMs)))
    sent['for-server'] = onward.server
    if (onward.model) sent['urgency'] = String(onward.urgency)
    if (onward.resumeAfter !== undefined) sent['resume-after'] = onward.resumeAfter
    return sent
  },

  reply(_status: number, headers: IncomingHttpHeaders): Reply {
    const id = text(headers['request-id'])
    return {
      notRun: headers['verdict'] === Verdict.notRun,
      sealed: headers['seal'] !== undefined,
      id: id === '' ? undefined : id,
    }
  },

  refusal(id: string, comeBackMs: number | undefined): Record<string, string> {
    const headers: Record<string, string> = {}
    if (id !== '') headers['request-id'] = id
    if (comeBackMs !== undefined) headers['retry-after'] = (Math.max(1, comeBackMs) / 1000).toFixed(3)
    return headers
  },
}
