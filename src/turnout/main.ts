#!/usr/bin/env node
/**
 * The proxy daemon: callers on one side, servers on the other, its lineman over loopback.
 */
import 'reflect-metadata'
import { container } from 'tsyringe'
import { Meters } from '../gauge/Meters.js'
import { startDaemon } from '../gauge/startDaemon.js'
import { Startup } from '../gauge/Startup.js'
import { TcpTelegraph } from '../telegraph/TcpTelegraph.js'
import { CallersDesk } from './CallersDesk.js'
import { TurnoutTask } from './TurnoutTask.js'

const fields = {
  name: 'its name',
  seat: "its lineman's name, the seat in the data plane",
  zone: 'its zone',
  telegraph: 'address for its lineman',
  lineman: "the lineman's telegraph address",
  callers: 'address for callers',
  traces: 'a file for traces of requests in OpenTelemetry JSON',
  logLevel: 'how much to log',
}

await startDaemon('turnout', 'A proxy of springpaddle.', Startup.turnout, fields, async (startup, logbook) => {
  container.registerInstance('startup', startup)
  container.registerInstance('logbook', logbook)
  container.registerInstance(Meters, new Meters('turnout', startup.name))
  container.registerInstance('telegraph', await TcpTelegraph.open(startup.name, startup.telegraph, logbook))
  const task = container.resolve(TurnoutTask)
  const desk = container.resolve(CallersDesk)
  logbook.say('turnout', `Listens for callers on ${await desk.open()}.`)
  return {
    stop: async () => {
      await desk.drain()
      await task.stop()
    },
  }
})
