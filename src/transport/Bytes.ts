/**
 * Raw bytes as a field of a message.
 */
import { z } from 'zod'

export const Bytes = z.custom<Uint8Array>((value) => value instanceof Uint8Array)
export type Bytes = Uint8Array
