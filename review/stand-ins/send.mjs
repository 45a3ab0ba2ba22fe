/**
 * One try of a sound client on a connection that it may keep; it waits `waitMs` for its answer. What it saw is in the try that is
 * given back at once; `done` resolves when the try is over.
 */
import { request } from 'node:http'

export function send({ url, agent, headers, body = '{}', waitMs }) {
  const tried = {
    id: headers['attempt-id'],
    url,
    sentMs: Date.now(),
    reused: false,
    status: 0,
    bytes: 0,
    complete: false,
    endMs: Infinity,
    error: '',
  }
  tried.done = new Promise((resolve) => {
    const sent = request(url, { method: 'POST', agent, headers: { 'content-type': 'application/json', ...headers } }, (reply) => {
      tried.status = reply.statusCode
      reply.on('data', (chunk) => {
        tried.bytes += chunk.length
      })
      reply.on('error', () => undefined)
      reply.on('close', () => {
        tried.complete = reply.complete
        tried.endMs = Date.now()
      })
    })
    const timer = setTimeout(() => {
      tried.error = 'its client left'
      sent.destroy()
    }, waitMs)
    sent.on('finish', () => {
      tried.reused = sent.reusedSocket
    })
    sent.on('error', (error) => {
      tried.error ||= error.code ?? error.message
      if (tried.error !== 'its client left') tried.endMs = Date.now()
    })
    sent.on('close', () => {
      clearTimeout(timer)
      resolve()
    })
    sent.end(body)
  })
  return tried
}
