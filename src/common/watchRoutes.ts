/**
 * Health and figures on a daemon's own app: `GET /health` gives 200 while it is at work and 503 while it
 * is not, `GET /metrics` gives Prometheus' text.
 */
import type { App } from '@tinyhttp/app'
import type { Meters } from './Meters.js'

export function watchRoutes(app: App, meters: Meters, health: () => { well: boolean } & Record<string, unknown>): void {
  app.get('/health', (_request, response) => {
    const body = health()
    response.writeHead(body.well ? 200 : 503, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  })
  app.get('/metrics', async (_request, response) => {
    const text = await meters.text()
    response.writeHead(200, { 'content-type': meters.contentType }).end(text)
  })
}
