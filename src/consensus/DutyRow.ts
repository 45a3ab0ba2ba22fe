/**
 * Who holds a duty, where, and which vacancy that filled (0 for the first there ever was); its row's
 * stamp is the epoch.
 */
import { z } from 'zod'

export const DutyRow = z.object({ holder: z.string(), address: z.string(), vacancy: z.number() })
export type DutyRow = z.infer<typeof DutyRow>
