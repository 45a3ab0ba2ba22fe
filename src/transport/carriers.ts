/**
 * How a message goes in its frame: with the name and address of its sender around it. The cluster is
 * said in the first frame of a connection and again when it changes.
 */
import { z } from 'zod'
import { Bytes } from './Bytes.js'
import { Codec } from './Codec.js'

const Carrier = z.object({
  kind: z.literal('carry'),
  from: z.string(),
  fromAddress: z.string(),
  body: Bytes,
  cluster: z.string().optional(),
})
export const carriers = new Codec(Carrier, [Carrier])
