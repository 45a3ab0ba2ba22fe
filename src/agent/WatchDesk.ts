/**
 * The agent's health and figures over HTTP, where the startup gives it an address for that.
 */
import 'reflect-metadata'
import type { Server } from 'node:http'
import { App } from '@tinyhttp/app'
import { inject, singleton } from 'tsyringe'
import { listen } from '../common/listen.js'
import type { StartWait } from '../common/StartWait.js'
import { Meters } from '../common/Meters.js'
import type { Startup } from '../common/Startup.js'
import { watchRoutes } from '../common/watchRoutes.js'
import { transportHelps } from '../transport/transportHelps.js'
import { AgentTask } from './AgentTask.js'

@singleton()
export class WatchDesk {
  readonly #address: string | undefined
  readonly #app = new App({ settings: { xPoweredBy: false } })
  #server: Server | undefined

  constructor(@inject('startup') startup: Startup['agent'], @inject(Meters) meters: Meters, @inject(AgentTask) task: AgentTask) {
    this.#address = startup.watch
    meters.gauges(
      {
        lease_left_ms: 'what is left of the lease from the core',
        peers_left_ms: 'what is left of the word of other seats',
        stamp: 'the stamp of the copy',
        core_stamp: 'the newest stamp that was told of',
        barred: "servers that the platform's list takes away while the core is silent",
        ...transportHelps,
      },
      () => task.figures,
    )
    watchRoutes(this.#app, meters, () => ({ well: task.current, name: startup.name, ...task.figures }))
  }

  async open(wait: StartWait): Promise<string | undefined> {
    if (this.#address === undefined) return undefined
    const { server, address } = await listen(this.#app, this.#address, wait)
    this.#server = server
    return address
  }

  close(): void {
    this.#server?.close()
    this.#server?.closeAllConnections()
  }
}
