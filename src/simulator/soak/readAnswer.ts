/**
 * Notes an answer of the product as its client reads it.
 */
import type { IncomingMessage } from 'node:http'
import type { SoakDialect } from './SoakDialect.js'
import type { SoakTry } from './SoakTry.js'

export function readAnswer(dialect: SoakDialect, seen: SoakTry, answer: IncomingMessage): void {
  seen.status = answer.statusCode ?? 0
  seen.seal = dialect.seal(answer.headers) ?? ''
  seen.answeredId = dialect.answeredId(answer.headers) ?? ''
  answer.setEncoding('utf8').on('data', (text) => {
    seen.body += String(text)
  })
  answer.once('end', () => {
    seen.whole = answer.complete
  })
  answer.once('error', (error) => {
    seen.why = error.message
  })
}
