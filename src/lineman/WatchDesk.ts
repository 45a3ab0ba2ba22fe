/**
 * The lineman's health and figures over HTTP, where the startup gives it an address for that.
 */
import 'reflect-metadata'
import type { Server } from 'node:http'
import { App } from '@tinyhttp/app'
import { inject, singleton } from 'tsyringe'
import { listen } from '../gauge/listen.js'
import { Meters } from '../gauge/Meters.js'
import type { Startup } from '../gauge/Startup.js'
import { watchRoutes } from '../gauge/watchRoutes.js'
import { LinemanTask } from './LinemanTask.js'

@singleton()
export class WatchDesk {
  readonly #address: string | undefined
  readonly #app = new App({ settings: { xPoweredBy: false } })
  #server: Server | undefined

  constructor(@inject('startup') startup: Startup['lineman'], @inject(Meters) meters: Meters, @inject(LinemanTask) task: LinemanTask) {
    this.#address = startup.watch
    meters.gauges(
      {
        licence_left_ms: 'what is left of the licence from the core',
        peers_left_ms: 'what is left of the word of other seats',
        stamp: 'the stamp of the copy',
        core_stamp: 'the newest stamp that was told of',
        barred: "servers that the platform's list takes away while the core is silent",
      },
      () => task.figures,
    )
    watchRoutes(this.#app, meters, () => ({ well: task.current, name: startup.name, ...task.figures }))
  }

  async open(): Promise<string | undefined> {
    if (this.#address === undefined) return undefined
    const { server, address } = await listen(this.#app, this.#address)
    this.#server = server
    return address
  }

  close(): void {
    this.#server?.close()
    this.#server?.closeAllConnections()
  }
}
