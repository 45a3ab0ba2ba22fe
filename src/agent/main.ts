#!/usr/bin/env node
/**
 * The agent that stands beside a proxy on its machine.
 */
import '../common/checkNode.js'
import 'reflect-metadata'
import { container } from 'tsyringe'
import { startDaemon } from '../common/startDaemon.js'
import { Startup } from '../common/Startup.js'
import { HttpPlatformClient } from '../adapters/HttpPlatformClient.js'
import { TcpTransport } from '../transport/TcpTransport.js'
import { Meters } from '../common/Meters.js'
import { Timings } from '../common/Timings.js'
import { AgentTask } from './AgentTask.js'
import { WatchDesk } from './WatchDesk.js'

const fields = {
  name: "this machine's seat in the data plane",
  zone: 'its zone',
  transport: 'address for the other processes',
  seeds: 'addresses of other processes, comma-separated',
  proxy: "the proxy's transport address on this machine",
  platform: "the platform's address, read only while the core is silent",
  system: 'the system to follow, once a core was founded again',
  watch: 'address for health and figures',
  logLevel: 'how much to log',
}

await startDaemon('agent', 'The agent beside a proxy.', Startup.agent, fields, async (startup, logger, wait) => {
  container.registerInstance('startup', startup)
  container.registerInstance('logger', logger)
  container.registerInstance(Meters, new Meters('agent', startup.name))
  container.registerInstance('outside', new HttpPlatformClient(startup.platform))
  container.registerInstance('transport', await TcpTransport.open(startup.name, startup.transport, Timings(startup.bounds), logger, wait))
  const task = container.resolve(AgentTask)
  logger.say('agent', `Listens on ${startup.transport}.`)
  const desk = container.resolve(WatchDesk)
  const watched = await desk.open(wait)
  if (watched !== undefined) logger.say('agent', `Tells its health on ${watched}.`)
  return {
    stop: async () => {
      desk.close()
      await task.stop()
    },
  }
})
