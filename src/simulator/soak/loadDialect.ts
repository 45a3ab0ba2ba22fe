/**
 * Loads a platform's formats from a module, which exports a dialect under any name.
 */
import { pathToFileURL } from 'node:url'
import { z } from 'zod'
import type { SoakDialect } from './SoakDialect.js'

const Exports = z.record(z.string(), z.unknown())
const Parts = z.looseObject({ entry: z.string(), settingsVariable: z.string(), paths: z.looseObject({}), ports: z.looseObject({}) })
const calls = [
  'settings',
  'configuration',
  'revision',
  'list',
  'report',
  'order',
  'requestHead',
  'arrival',
  'answerHead',
  'notRunHead',
  'seal',
]

function isDialect(value: unknown): value is SoakDialect {
  if (typeof value !== 'object' || value === null || !Parts.safeParse(value).success) return false
  return calls.every((name) => typeof Reflect.get(value, name) === 'function')
}

export async function loadDialect(file: string): Promise<SoakDialect> {
  const loaded: unknown = await import(pathToFileURL(file).href)
  const found = Object.values(Exports.parse({ ...Exports.parse(loaded) })).find(isDialect)
  if (found === undefined) throw new Error(`${file}: exports no dialect for a soak`)
  return found
}
