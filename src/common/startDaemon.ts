/**
 * The frame of each daemon's `main`: a command line of `--startup FILE` and one flag for each field,
 * a checked startup, exit code 2 with every error named, and a drained stop on a signal.
 */
import { command, flag as yesFlag, option, optional, string, subcommands } from 'cmd-ts'
import type { z } from 'zod'
import { endOnDefect } from './endOnDefect.js'
import { exitCodes } from './exitCodes.js'
import { Logger } from './Logger.js'
import { runCommand } from './runCommand.js'
import { Startup } from './Startup.js'
import { StartWait } from './StartWait.js'
import { StopAskedError } from './StopAskedError.js'
import { untilSignal } from './untilSignal.js'

const flag = (long: string, description: string) => option({ long, type: optional(string), description })
const lists = ['seeds', 'seats', 'without']

/** A command beside `run`, that a stopped daemon is asked to do once; gives the exit code. */
interface Once<T> {
  description: string
  handle: (startup: T, sure: boolean) => Promise<number>
}

export async function startDaemon<T extends { name: string; logLevel: string }>(
  program: string,
  description: string,
  schema: z.ZodType<T>,
  fields: Record<string, string>,
  start: (startup: T, logger: Logger, wait: StartWait) => Promise<{ stop: () => Promise<void> }>,
  others: Record<string, Once<T>> = {},
): Promise<void> {
  const args = {
    ...Object.fromEntries(Object.entries(fields).map(([field, what]) => [field, flag(field === 'logLevel' ? 'log-level' : field, what)])),
    startup: flag('startup', 'a JSON file with the startup'),
  }
  const fail = (why: string, code: number) => {
    process.stderr.write(`${program}: ${why}\n`)
    process.exitCode = code
  }
  const withStartup = async (given: Record<string, string | undefined>, then: (startup: T) => Promise<void>) => {
    const flags: Record<string, unknown> = {}
    for (const field of Object.keys(fields)) {
      const value = given[field]
      if (value !== undefined) flags[field] = lists.includes(field) ? value.split(',') : value
    }
    await Startup.read(schema, given['startup'], flags).caseOf({
      Left: (errors) => {
        for (const error of errors) fail(error, exitCodes.wrongSettings)
        return Promise.resolve()
      },
      Right: then,
    })
  }
  const serve = command({
    name: 'run',
    description: `${description} Flags go before the startup file.`,
    args,
    handler: (given) =>
      withStartup({ ...given }, async (startup) => {
        const logger = new Logger(program, startup.name, startup.logLevel)
        endOnDefect((line) => {
          logger.fatal(program, line)
        })
        const asked = untilSignal()
        const stop = new AbortController()
        void asked.then(() => {
          stop.abort()
        })
        const warn = (sentence: string) => {
          logger.warn(program, sentence)
        }
        try {
          const daemon = await start(startup, logger, new StartWait(warn, stop.signal))
          const signal = await asked
          logger.say(program, `Got ${signal}; drains and stops.`)
          await daemon.stop()
          process.exit(0)
        } catch (error) {
          const why = error instanceof Error ? error.message : String(error)
          logger.fatal(program, why)
          fail(why, error instanceof StopAskedError ? exitCodes.stopped : exitCodes.startFailed)
          process.exit()
        }
      }),
  })
  const more = Object.entries(others).map(([name, { description: what, handle }]) => {
    const yes = yesFlag({ long: 'yes', description: 'really do it; without it, only tell what would be done' })
    const once = command({
      name,
      description: what,
      args: { ...args, yes },
      handler: ({ yes: sure, ...given }) =>
        withStartup({ ...given }, async (startup) => {
          try {
            process.exitCode = await handle(startup, sure)
          } catch (error) {
            fail(error instanceof Error ? error.message : String(error), 1)
          }
        }),
    })
    return [name, once] as const
  })
  await runCommand(subcommands({ name: program, description, cmds: { run: serve, ...Object.fromEntries(more) } }), process.argv.slice(2))
}
