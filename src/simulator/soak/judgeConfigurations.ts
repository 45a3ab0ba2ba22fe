/**
 * What was acknowledged is read back: never older than what was acknowledged when the reading began, always as it was
 * sent under its number, and at the end at all. No proper change is refused, whether or not its answer was lost.
 */
import { isDeepStrictEqual } from 'node:util'
import type { SoakLog } from './SoakLog.js'

const name = (revision: number | undefined) => String(revision ?? 'none')

export function judgeConfigurations({ changes, readings }: SoakLog): string[] {
  const faults = changes.flatMap((one) =>
    one.refused === undefined
      ? []
      : [`revision ${name(one.revision)}: refused with ${String(one.refused)}${one.taken ? ' though it had been taken' : ''}`],
  )
  for (const { askedMs, revision, text } of readings) {
    const newest = changes.findLast((one) => one.acknowledgedMs !== undefined && one.acknowledgedMs <= askedMs)
    const sent = changes.find((one) => one.revision === revision)
    if (newest !== undefined && (revision ?? -1) < newest.revision)
      faults.push(`read back revision ${name(revision)} after ${name(newest.revision)} was acknowledged`)
    if (sent === undefined) faults.push(`read back revision ${name(revision)}, which nobody sent`)
    else if (!isDeepStrictEqual(JSON.parse(sent.text), JSON.parse(text))) faults.push(`revision ${name(revision)} is not read back as sent`)
  }
  if (!readings.some((one) => one.final)) faults.push('nothing was read back at the end')
  return faults
}
