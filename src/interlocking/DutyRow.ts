/**
 * Who holds a duty, and where; its row's stamp is the tenure.
 */
import { z } from 'zod'

export const DutyRow = z.object({ holder: z.string(), address: z.string() })
export type DutyRow = z.infer<typeof DutyRow>
