/**
 * What holds for one service or model under a charter: whose it is, its limits with all that they
 * inherit, which servers may take it, and whether its requests may be repeated.
 */
import { deepStrictEqual } from 'node:assert'
import { Charter } from './Charter.js'
import { sampleDefaults } from './sampleDefaults.js'
import { proof } from './proof.js'

export interface Terms {
  partner: string
  limits: ReturnType<typeof Charter.limits>
  repeatable: boolean
  servers: readonly string[] | undefined
  adapters: readonly string[]
}

export const Terms = {
  /** Keyed by kind and name, as in "model pairing-1". */
  of(charter: Charter): Map<string, Terms> {
    const terms = new Map<string, Terms>()
    for (const [partner, branch] of Object.entries(charter.partners)) {
      for (const [name, { servers, repeatable, limits }] of Object.entries(branch.services)) {
        terms.set(`service ${name}`, { partner, limits: Charter.limits(charter, partner, limits), repeatable, servers, adapters: [] })
      }
      for (const [name, { servers, repeatable, limits, adapters }] of Object.entries(branch.models)) {
        terms.set(`model ${name}`, { partner, limits: Charter.limits(charter, partner, limits), repeatable, servers, adapters })
      }
    }
    return terms
  },
}

proof(import.meta.url, {
  'each service and model has its own, inherited leaf by leaf': () => {
    const tree = Charter.check({
      defaults: sampleDefaults,
      partners: { c: { limits: { dueMs: 50 }, models: { one: { sizeMb: 1, adapters: ['a'], limits: { coldLimit: 1 } } } } },
      fleet: { servers: { s: { kind: 'model', roomMb: 9, places: 1 } }, storePaceMbPerS: 1, storeBurstMb: 99 },
    })
    const terms = Terms.of(
      tree.caseOf<Charter>({
        Left: (errors) => {
          throw new Error(errors.join())
        },
        Right: (charter) => charter,
      }),
    ).get('model one')
    deepStrictEqual([terms?.partner, terms?.limits.dueMs, terms?.limits.coldLimit, terms?.adapters], ['c', 50, 1, ['a']])
  },
})
