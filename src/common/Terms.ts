/**
 * What holds for one service or model under a charter: whose it is, its limits with all that they
 * inherit, which servers may take it, and whether its requests may be repeated.
 */
import { Charter } from './Charter.js'

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
