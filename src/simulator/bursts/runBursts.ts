/**
 * Plays each scene of large messages on a fleet of its own, of real processes, and tells what the processes took: peak memory, longest
 * turn of the event loop, ends, answers, and how small requests at the same gateway fared beside them.
 */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { clockMs } from '../../common/clockMs.js'
import { quantile } from '../quantile.js'
import { emptySoakLog } from '../soak/emptySoakLog.js'
import type { SoakDialect } from '../soak/SoakDialect.js'
import { SoakFleet } from '../soak/SoakFleet.js'
import type { SoakLog } from '../soak/SoakLog.js'
import { soakSizes } from '../soak/soakSizes.js'
import type { BurstScene } from './BurstScene.js'
import type { BurstStage } from './BurstStage.js'
import { BurstSender } from './BurstSender.js'
import { burstScenes } from './burstScenes.js'

interface Bursts {
  entry: string
  dialect: SoakDialect
  say: (line: string) => void
}

const startsMs = 30_000
/** From readiness to the burst, and from its end to the last look. */
const restMs = 1500
const besideMs = 100
const noRoute = 404
const columns = ['scene', 'control MB', 'gateway MB', 'longest turn ms', 'ends', 'answers', 'small beside, worst ms']

/** Small requests at the gateway that gets the burst, until it is over; the time that each took, or infinity without an answer. */
async function sendBeside({ sender, gateway }: BurstStage, isOver: () => boolean): Promise<number[]> {
  const took: number[] = []
  const pending: Promise<void>[] = []
  while (!isOver()) {
    const fromMs = clockMs()
    pending.push(
      sender.probe(gateway).then((status) => {
        took.push(status === noRoute ? clockMs() - fromMs : Infinity)
      }),
    )
    await pause(besideMs)
  }
  await Promise.all(pending)
  return took
}

function tally(statuses: readonly number[]): string {
  const counts = new Map<number, number>()
  for (const status of statuses) counts.set(status, (counts.get(status) ?? 0) + 1)
  return [...counts]
    .sort(([one], [other]) => one - other)
    .map(([status, count]) => `${status === 0 ? 'none' : String(status)}: ${String(count)}`)
    .join(', ')
}

function peakOf(log: SoakLog, isControl: boolean): string {
  const peaks = log.memory.filter(({ who }) => who.startsWith('core') === isControl).map(({ peakMb }) => peakMb)
  return Math.max(0, ...peaks).toFixed(0)
}

async function play(scene: BurstScene, stage: BurstStage, log: SoakLog): Promise<string[]> {
  const { fleet } = stage
  await fleet.start()
  await fleet.operator.change(clockMs() + startsMs)
  if (!(await fleet.clients.ready(startsMs))) throw new Error('not every gateway became ready')
  await pause(restMs)
  log.memory = []
  log.turns = []
  let isOver = false
  const beside = sendBeside(stage, () => isOver)
  const statuses = await scene.send(stage)
  isOver = true
  const took = await beside
  await pause(restMs)
  const worst = quantile(took, 1)
  return [
    scene.name,
    peakOf(log, true),
    peakOf(log, false),
    Math.max(0, ...log.turns.map(({ longestMs }) => longestMs)).toFixed(0),
    log.ended.length === 0 ? 'none' : log.ended.join('; '),
    tally(statuses),
    Number.isFinite(worst)
      ? worst.toFixed(0)
      : `${String(took.filter((one) => !Number.isFinite(one)).length)} of ${String(took.length)} not answered`,
  ]
}

export async function runBursts({ entry, dialect, say }: Bursts): Promise<void> {
  say(`| ${columns.join(' | ')} |`)
  say(`| ${columns.map(() => '---').join(' | ')} |`)
  for (const scene of burstScenes) {
    const folder = await mkdtemp(join(tmpdir(), 'bursts-'))
    const log = emptySoakLog()
    const fleet = new SoakFleet(1, soakSizes.small, folder, entry, dialect, log)
    const [control] = fleet.nodes.filter(({ seat }) => seat.role === 'control')
    const [gateway] = fleet.nodes.filter(({ seat }) => seat.role === 'gateway')
    try {
      if (control === undefined || gateway === undefined) throw new Error('the fleet lacks a role')
      const cells = await play(scene, { fleet, sender: new BurstSender(dialect), control: control.seat, gateway: gateway.seat }, log)
      say(`| ${cells.join(' | ')} |`)
    } finally {
      await fleet.stop()
      await rm(folder, { recursive: true })
    }
  }
}
