/**
 * An IP number and a port, as written in startup files and in messages.
 */
import { isIP } from 'node:net'
import { z } from 'zod'

export const Address = z.string().refine((text) => {
  const cut = text.lastIndexOf(':')
  const port = Number(text.slice(cut + 1))
  return cut > 0 && isIP(text.slice(0, cut).replace(/^\[|\]$/g, '')) !== 0 && Number.isInteger(port) && port >= 0 && port < 65536
}, 'must be an IP number and a port, such as 10.0.0.1:7000')
export type Address = z.infer<typeof Address>
