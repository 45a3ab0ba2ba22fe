#!/usr/bin/env node
/**
 * The core daemon: its transport and data folder are opened first, then the machine, then the
 * operators' desk.
 */
import '../common/checkNode.js'
import 'reflect-metadata'
import { container } from 'tsyringe'
import { Meters } from '../common/Meters.js'
import { startDaemon } from '../common/startDaemon.js'
import { Startup } from '../common/Startup.js'
import { Timings } from '../common/Timings.js'
import { HttpPlatformClient } from '../adapters/HttpPlatformClient.js'
import { TcpTransport } from '../transport/TcpTransport.js'
import { exitOnStorageError } from '../storage/exitOnStorageError.js'
import { openLog } from '../storage/openLog.js'
import { foundAgain } from './foundAgain.js'
import { OperatorsDesk } from './OperatorsDesk.js'
import { ControlTask } from './ControlTask.js'

const fields = {
  name: "this machine's seat in the core",
  zone: 'its zone',
  transport: 'address for the other processes',
  operators: "address of the operators' API",
  seeds: 'addresses of other processes, comma-separated',
  seats: 'names of all seats of the core, comma-separated',
  data: 'data folder',
  platform: "the platform's address",
  system: 'the system that an empty machine may join, once a core was founded again',
  without: 'mechanisms to switch off, comma-separated',
  logLevel: 'how much to log',
}

await startDaemon(
  'control',
  'A core machine of springpaddle.',
  Startup.control,
  fields,
  async (startup, logger, wait) => {
    const writeAheadLog = await openLog(startup.data, wait).catch(exitOnStorageError('control', logger))
    container.registerInstance('startup', startup)
    container.registerInstance('logger', logger)
    container.registerInstance(Meters, new Meters('control', startup.name))
    container.registerInstance('writeAheadLog', writeAheadLog)
    container.registerInstance('outside', new HttpPlatformClient(startup.platform))
    container.registerInstance('transport', await TcpTransport.open(startup.name, startup.transport, Timings(startup.bounds), logger, wait))
    const task = container.resolve(ControlTask)
    const desk = container.resolve(OperatorsDesk)
    logger.say('control', `Listens for operators on ${await desk.open(wait)}.`)
    return {
      stop: async () => {
        desk.beginDrain()
        await task.leave()
        await desk.close()
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
