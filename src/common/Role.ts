/**
 * The kinds of process that keep a transport.
 */
import { z } from 'zod'

export const Role = z.enum(['control', 'proxy', 'agent'])
export type Role = z.infer<typeof Role>
