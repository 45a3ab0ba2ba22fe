/**
 * The headers of a request or an answer without those that concern one connection only: the fixed ones of
 * HTTP/1.1 and those that `connection` names.
 */
import type { IncomingHttpHeaders } from 'node:http'

const hop = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'transfer-encoding',
  'upgrade',
  'te',
  'trailer',
  'expect',
  'content-length',
])

export function passedOn(headers: IncomingHttpHeaders): Record<string, string | string[]> {
  const named = headers.connection
  const own = named === undefined ? undefined : new Set(named.toLowerCase().split(/\s*,\s*/))
  const kept: Record<string, string | string[]> = {}
  for (const name in headers) {
    const value = headers[name]
    if (value !== undefined && !hop.has(name) && own?.has(name) !== true) kept[name] = value
  }
  return kept
}
