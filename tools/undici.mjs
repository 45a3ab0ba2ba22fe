// The part of the client library that daemons use, for the bundle: the rest (fetch, sockets, caches) is left out.
export { default as Client } from '../node_modules/undici/lib/dispatcher/client.js'
export { default as Pool } from '../node_modules/undici/lib/dispatcher/pool.js'
export { default as Agent } from '../node_modules/undici/lib/dispatcher/agent.js'
import api from '../node_modules/undici/lib/api/api-request.js'
import util from '../node_modules/undici/lib/core/util.js'

/** The library's own `request`, for an agent that is always given. */
export function request(url, { dispatcher, method = 'GET', ...options }) {
  const { origin, pathname, search } = util.parseURL(url)
  return api.call(dispatcher, { ...options, method, origin, path: search ? `${pathname}${search}` : pathname })
}
