import { ok } from 'node:assert'
import { test } from 'node:test'
import { AdmissionLimits } from './AdmissionLimits.js'

test('the connections of all doors together stay within the descriptors that are not kept', () => {
  for (const descriptors of [600, 1024, 4096, 65_536]) {
    const limits = new AdmissionLimits(350, descriptors)
    ok(limits.callerConnections + limits.nodeConnections + limits.probeConnections < descriptors - 200)
  }
})

test('limits grow with what the process may take, and none is zero', () => {
  const small = new AdmissionLimits(32, 100)
  const large = new AdmissionLimits(350, 4096)
  for (const [name, limit] of Object.entries(small))
    ok(limit > 0 && limit <= Number(Object.entries(large).find(([other]) => other === name)?.[1]), name)
})
