/**
 * The kinds of process that keep a telegraph.
 */
import { z } from 'zod'

export const Role = z.enum(['signalbox', 'turnout', 'lineman'])
export type Role = z.infer<typeof Role>
