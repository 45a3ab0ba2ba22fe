/**
 * Log lines through pino: short sentences, each behind the fixed prefix of the part that says it.
 */
import { pino, type Logger as PinoLogger } from 'pino'

export class Logger {
  readonly #logger: PinoLogger

  constructor(program: string, name: string, level: string) {
    this.#logger = pino({ level, base: { program, name }, timestamp: pino.stdTimeFunctions.isoTime })
  }

  say(part: string, sentence: string): void {
    this.#logger.info(`${part}: ${sentence}`)
  }

  warn(part: string, sentence: string): void {
    this.#logger.warn(`${part}: ${sentence}`)
  }

  fatal(part: string, sentence: string): void {
    this.#logger.fatal(`${part}: ${sentence}`)
  }
}
