/**
 * The frame of each daemon's `main`: a command line of `--startup FILE` and one flag for each field,
 * a checked startup, exit code 2 with every error named, and a drained stop on a signal.
 */
import { command, option, optional, string, subcommands } from 'cmd-ts'
import type { z } from 'zod'
import { Logbook } from './Logbook.js'
import { runCommand } from './runCommand.js'
import { Startup } from './Startup.js'
import { untilSignal } from './untilSignal.js'

const flag = (long: string, description: string) => option({ long, type: optional(string), description })
const lists = ['seeds', 'seats']

export async function startDaemon<T extends { name: string; logLevel: string }>(
  program: string,
  description: string,
  schema: z.ZodType<T>,
  fields: Record<string, string>,
  start: (startup: T, logbook: Logbook) => Promise<{ stop: () => Promise<void> }>,
): Promise<void> {
  const args = Object.fromEntries(
    Object.entries(fields).map(([field, what]) => [field, flag(field === 'logLevel' ? 'log-level' : field, what)]),
  )
  const serve = command({
    name: 'run',
    description: `${description} Flags go before the startup file.`,
    args: { ...args, startup: flag('startup', 'a JSON file with the startup') },
    handler: async (given) => {
      const flags: Record<string, unknown> = {}
      const values: Record<string, string | undefined> = { ...given }
      for (const field of Object.keys(fields)) {
        const value = values[field]
        if (value !== undefined) flags[field] = lists.includes(field) ? value.split(',') : value
      }
      const read = Startup.read(schema, given.startup, flags)
      await read.caseOf({
        Left: (errors) => {
          for (const error of errors) process.stderr.write(`${program}: ${error}\n`)
          process.exitCode = 2
          return Promise.resolve()
        },
        Right: async (startup) => {
          const logbook = new Logbook(program, startup.name, startup.logLevel)
          try {
            const daemon = await start(startup, logbook)
            const signal = await untilSignal()
            logbook.say(program, `Got ${signal}; drains and stops.`)
            await daemon.stop()
            process.exit(0)
          } catch (error) {
            const why = error instanceof Error ? error.message : String(error)
            logbook.fatal(program, why)
            process.stderr.write(`${program}: ${why}\n`)
            process.exit(1)
          }
        },
      })
    },
  })
  await runCommand(subcommands({ name: program, description, cmds: { run: serve } }), process.argv.slice(2))
}
