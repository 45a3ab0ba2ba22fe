#!/usr/bin/env node
/**
 * The core daemon: its telegraph and data folder are opened first, then the machine, then the
 * operators' desk.
 */
import 'reflect-metadata'
import { container } from 'tsyringe'
import { Meters } from '../gauge/Meters.js'
import { startDaemon } from '../gauge/startDaemon.js'
import { Startup } from '../gauge/Startup.js'
import { HttpOutside } from '../sidings/HttpOutside.js'
import { TcpTelegraph } from '../telegraph/TcpTelegraph.js'
import { FileWaybill } from '../waybill/FileWaybill.js'
import { foundAgain } from './foundAgain.js'
import { OperatorsDesk } from './OperatorsDesk.js'
import { SignalboxTask } from './SignalboxTask.js'

const fields = {
  name: "this machine's seat in the core",
  zone: 'its zone',
  telegraph: 'address for the other processes',
  operators: "address of the operators' API",
  seeds: 'addresses of other processes, comma-separated',
  seats: 'names of all seats of the core, comma-separated',
  data: 'data folder',
  platform: "the platform's address",
  system: 'the system that an empty machine may join, once a core was founded again',
  logLevel: 'how much to log',
}

await startDaemon(
  'signalbox',
  'A core machine of springpaddle.',
  Startup.signalbox,
  fields,
  async (startup, logbook) => {
    const waybill = await FileWaybill.open(startup.data)
    container.registerInstance('startup', startup)
    container.registerInstance('logbook', logbook)
    container.registerInstance(Meters, new Meters('signalbox', startup.name))
    container.registerInstance('waybill', waybill)
    container.registerInstance('outside', new HttpOutside(startup.platform))
    container.registerInstance('telegraph', await TcpTelegraph.open(startup.name, startup.telegraph, logbook))
    const task = container.resolve(SignalboxTask)
    const desk = container.resolve(OperatorsDesk)
    logbook.say('signalbox', `Listens for operators on ${await desk.open()}.`)
    return {
      stop: async () => {
        desk.close()
        await task.stop()
      },
    }
  },
  {
    refound: {
      description: 'Founds the core again from this data folder, when the disks of a majority are gone for good.',
      handle: (startup, sure) => foundAgain(startup, sure, (line) => process.stdout.write(`${line}\n`)),
    },
  },
)
