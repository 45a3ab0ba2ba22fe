#!/usr/bin/env node
/**
 * The proxy of a network: callers of routes on one side, servers on the other, a lineman's machine inside.
 */
import { startDaemon } from '../gauge/startDaemon.js'
import { HttpOutside } from '../sidings/HttpOutside.js'
import { RouteFormat } from '../sidings/RouteFormat.js'
import { TcpTelegraph } from '../telegraph/TcpTelegraph.js'
import { CallersDesk } from './CallersDesk.js'
import { JunctionStartup } from './JunctionStartup.js'
import { JunctionTask } from './JunctionTask.js'

const fields = {
  name: 'its name',
  zone: 'its zone',
  telegraph: 'address for the other processes',
  callers: 'address for callers',
  readiness: 'address where it says on /ready whether it takes callers',
  seeds: 'telegraph addresses of core machines, comma-separated',
  platform: "the platform's address, read only while the core is silent",
  system: 'the system to follow, once a core was founded again',
  logLevel: 'how much to log',
}

await startDaemon('junction', 'The proxy of a network.', JunctionStartup, fields, async (startup, logbook) => {
  const telegraph = await TcpTelegraph.open(startup.name, startup.telegraph, logbook)
  const task = new JunctionTask(startup, logbook, telegraph, RouteFormat, new HttpOutside(startup.platform))
  const desk = new CallersDesk(startup, task, '/ready')
  logbook.say('junction', `Listens for callers on ${await desk.open()}.`)
  return {
    stop: async () => {
      await desk.drain()
      await task.stop()
    },
  }
})
