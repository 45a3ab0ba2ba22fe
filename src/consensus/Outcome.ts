/**
 * How an operator's write ended: a status as in HTTP, the stamp it made if it took effect, and the
 * errors with their paths if not. 503 is no judgement: the write did nothing, and may be sent again.
 */
import { z } from 'zod'

export const Outcome = z.object({
  status: z.literal([200, 404, 412, 422, 503]),
  stamp: z.number(),
  errors: z.array(z.string()),
})
export type Outcome = z.infer<typeof Outcome>
