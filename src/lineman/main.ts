#!/usr/bin/env node
/**
 * The agent that stands beside a turnout on its machine.
 */
import 'reflect-metadata'
import { container } from 'tsyringe'
import { startDaemon } from '../gauge/startDaemon.js'
import { Startup } from '../gauge/Startup.js'
import { HttpOutside } from '../sidings/HttpOutside.js'
import { TcpTelegraph } from '../telegraph/TcpTelegraph.js'
import { Meters } from '../gauge/Meters.js'
import { LinemanTask } from './LinemanTask.js'
import { WatchDesk } from './WatchDesk.js'

const fields = {
  name: "this machine's seat in the data plane",
  zone: 'its zone',
  telegraph: 'address for the other processes',
  seeds: 'addresses of other processes, comma-separated',
  turnout: "the turnout's telegraph address on this machine",
  platform: "the platform's address, read only while the core is silent",
  system: 'the system to follow, once a core was founded again',
  watch: 'address for health and figures',
  logLevel: 'how much to log',
}

await startDaemon('lineman', 'The agent beside a turnout.', Startup.lineman, fields, async (startup, logbook) => {
  container.registerInstance('startup', startup)
  container.registerInstance('logbook', logbook)
  container.registerInstance(Meters, new Meters('lineman', startup.name))
  container.registerInstance('outside', new HttpOutside(startup.platform))
  container.registerInstance('telegraph', await TcpTelegraph.open(startup.name, startup.telegraph, logbook))
  const task = container.resolve(LinemanTask)
  logbook.say('lineman', `Listens on ${startup.telegraph}.`)
  const desk = container.resolve(WatchDesk)
  const watched = await desk.open()
  if (watched !== undefined) logbook.say('lineman', `Tells its health on ${watched}.`)
  return {
    stop: async () => {
      desk.close()
      await task.stop()
    },
  }
})
