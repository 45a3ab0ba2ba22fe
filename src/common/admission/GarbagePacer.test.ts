import { deepStrictEqual } from 'node:assert'
import { test } from 'node:test'
import { GarbagePacer } from './GarbagePacer.js'

test('garbage is collected after a part of the memory came in, all of it after a part was given back', () => {
  const collected: string[] = []
  const pacer = new GarbagePacer(64, (extent) => collected.push(extent))
  for (let megabyte = 0; megabyte < 3; megabyte++) pacer.arrived(999_999)
  deepStrictEqual(collected, ['minor'])
  pacer.released(3_999_999)
  deepStrictEqual(collected, ['minor'])
  pacer.released(1)
  deepStrictEqual(collected, ['minor', 'major'])
})
