#!/usr/bin/env node
/**
 * The proxy daemon: callers on one side, servers on the other, its agent over loopback.
 */
import '../common/checkNode.js'
import 'reflect-metadata'
import { container } from 'tsyringe'
import { Meters } from '../common/Meters.js'
import { startDaemon } from '../common/startDaemon.js'
import { Startup } from '../common/Startup.js'
import { Timings } from '../common/Timings.js'
import { TcpTransport } from '../transport/TcpTransport.js'
import { CallersDesk } from './CallersDesk.js'
import { ProxyTask } from './ProxyTask.js'

const fields = {
  name: 'its name',
  seat: "its agent's name, the seat in the data plane",
  zone: 'its zone',
  transport: 'address for its agent',
  agent: "the agent's transport address",
  callers: 'address for callers',
  traces: 'a file for traces of requests in OpenTelemetry JSON',
  logLevel: 'how much to log',
}

await startDaemon('proxy', 'A proxy of springpaddle.', Startup.proxy, fields, async (startup, logger, wait) => {
  container.registerInstance('startup', startup)
  container.registerInstance('logger', logger)
  container.registerInstance(Meters, new Meters('proxy', startup.name))
  container.registerInstance('transport', await TcpTransport.open(startup.name, startup.transport, Timings(startup.bounds), logger, wait))
  const task = container.resolve(ProxyTask)
  const desk = container.resolve(CallersDesk)
  logger.say('proxy', `Listens for callers on ${await desk.open(wait)}.`)
  return {
    stop: async () => {
      await desk.drain()
      await task.stop()
    },
  }
})
