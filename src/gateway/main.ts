#!/usr/bin/env node
/**
 * The proxy of a network: callers of routes on one side, servers on the other, an agent's machine inside.
 */
import '../common/checkNode.js'
import { startDaemon } from '../common/startDaemon.js'
import { Timings } from '../common/Timings.js'
import { HttpPlatformClient } from '../adapters/HttpPlatformClient.js'
import { RouteFormat } from '../adapters/RouteFormat.js'
import { TcpTransport } from '../transport/TcpTransport.js'
import { CallersDesk } from './CallersDesk.js'
import { GatewayStartup } from './GatewayStartup.js'
import { GatewayTask } from './GatewayTask.js'

const fields = {
  name: 'its name',
  zone: 'its zone',
  transport: 'address for the other processes',
  callers: 'address for callers',
  readiness: 'address where it says on /ready whether it takes callers',
  seeds: 'transport addresses of core machines, comma-separated',
  platform: "the platform's address, read only while the core is silent",
  system: 'the system to follow, once a core was founded again',
  without: 'mechanisms to switch off, comma-separated',
  logLevel: 'how much to log',
}

await startDaemon('gateway', 'The proxy of a network.', GatewayStartup, fields, async (startup, logger, wait) => {
  const transport = await TcpTransport.open(startup.name, startup.transport, Timings(startup.bounds), logger, wait)
  const task = new GatewayTask(startup, logger, transport, RouteFormat, new HttpPlatformClient(startup.platform))
  const desk = new CallersDesk(startup, task, '/ready')
  logger.say('gateway', `Listens for callers on ${await desk.open(wait)}.`)
  return {
    stop: async () => {
      await desk.drain()
      await task.stop()
    },
  }
})
