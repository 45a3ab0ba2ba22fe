/**
 * What an operator may ask of the core. `operation` names a write, so that a repeated one is answered
 * with the first outcome; `ifMatch` guards it by a stamp, -1 for no guard. A network's write is guarded by
 * its revision, and is named by what it says: a repeat of one that failed is judged anew. For a zone,
 * `branch` is its name. A request is answered within `waitMs`, and within `leaderMs` where no leader is heard.
 */
import { z } from 'zod'

export const Operation = z.object({
  action: z.enum([
    'charter.put',
    'charter.patch',
    'charter.rollback',
    'charter.get',
    'charter.history',
    'charter.leaves',
    'outcome',
    'nodes',
    'servers',
    'placement',
    'seat.retire',
    'network.put',
    'network.patch',
    'network.get',
    'zone.empty',
    'zone.fill',
  ]),
  branch: z.string(),
  text: z.string(),
  ifMatch: z.number(),
  operation: z.string(),
  waitMs: z.number(),
  leaderMs: z.number(),
})
export type Operation = z.infer<typeof Operation>
