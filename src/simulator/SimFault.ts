/**
 * A fault of a storm: which, how long after the first of them it begins, and how long it lasts.
 */
import { Random } from '../common/Random.js'
import { diskTakers } from './diskTakers.js'

export interface SimFault {
  name: string
  fromMs: number
  lastsMs: number
}

export const SimFault = {
  storm(names: readonly string[], seed: number, count: number, spanMs: number): SimFault[] {
    const random = new Random(seed * 104_729)
    const faults: SimFault[] = []
    while (faults.length < count) {
      const name = random.pick(names) ?? ''
      if (name === 'lose-two-disks') continue
      if (diskTakers.includes(name) && faults.some((one) => diskTakers.includes(one.name))) continue
      faults.push({ name, fromMs: Math.round(random.between(0, spanMs)), lastsMs: Math.round(random.between(500, 9000)) })
    }
    return faults.sort((a, b) => a.fromMs - b.fromMs)
  },

  write(faults: readonly SimFault[]): string {
    return faults.map((one) => `${one.name}@${String(one.fromMs)}+${String(one.lastsMs)}`).join(',')
  },

  read(text: string): SimFault[] | undefined {
    const faults = text.split(',').map((part) => {
      const [, name, fromMs, lastsMs] = /^([a-z-]+)@(\d+)\+(\d+)$/.exec(part) ?? []
      return name === undefined ? undefined : { name, fromMs: Number(fromMs), lastsMs: Number(lastsMs) }
    })
    const read = faults.filter((one) => one !== undefined)
    return read.length === faults.length ? read : undefined
  },
}
