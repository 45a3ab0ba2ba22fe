/**
 * Notices when the wall clock jumps. It counts for the hours of intents alone; still, operators should know.
 */
const hourMs = 3_600_000
const hoursADay = 24
const jumpMs = 120_000

export class WallClockMonitor {
  #last: { hour: number; atMs: number } | undefined

  /** Takes a reading, an hour of the day; gives by how much the wall clock jumped since the last one, if it did. */
  read(hour: number, nowMs: number): number | undefined {
    const last = this.#last
    this.#last = { hour, atMs: nowMs }
    if (last === undefined) return undefined
    const ranHours = (nowMs - last.atMs) / hourMs
    const offHours = ((hour - last.hour - ranHours + 1.5 * hoursADay) % hoursADay) - hoursADay / 2
    return Math.abs(offHours * hourMs) > jumpMs ? Math.round(offHours * hourMs) : undefined
  }
}
