/**
 * The scenes of large messages that a deployment of the soak's size is to bear.
 */
import type { BurstScene } from './BurstScene.js'
import type { BurstStage } from './BurstStage.js'

const bodyBytes = 4_000_000
const lateMs = 2000
/** Routes that make a configuration of about so many megabytes. */
const routesAMegabyte = 3700

const bodies = (count: number): BurstScene => ({
  name: `${String(count)} bodies of 4 MB`,
  send: ({ sender, gateway }) => Promise.all(Array.from({ length: count }, () => sender.body(gateway, bodyBytes, lateMs))),
})

const pieces = (bytes: number): BurstScene => ({
  name: `4 MB in pieces of ${String(bytes)}`,
  send: async ({ sender, gateway }) => [await sender.pieces(gateway, bodyBytes, bytes)],
})

/** Changes that come at once, each another text on the revision before the current one. */
const changes = (count: number, megabytes: number): BurstScene => ({
  name: `${String(count)} stale changes of ${String(megabytes)} MB`,
  send: ({ sender, control }) => {
    const text = sender.configuration(2, Math.round(megabytes * routesAMegabyte))
    return Promise.all(Array.from({ length: count }, (_, at) => sender.change(control, 0, `${text}${' '.repeat(at)}`)))
  },
})

/** Sends a change until it is acknowledged or refused for good. */
async function changeUntilTaken({ sender, control }: BurstStage, base: number, text: string): Promise<number> {
  for (;;) {
    const status = await sender.change(control, base, text)
    if (status !== 0 && status < 500) return status
  }
}

/** Valid changes that come one after the other. */
const row = (count: number, megabytes: number): BurstScene => ({
  name: `${String(count)} valid of ${String(megabytes)} MB in a row`,
  send: async (stage) => {
    const statuses: number[] = []
    const first = stage.fleet.operator.revision
    for (let at = 0; at < count; at++) {
      const base = first + at
      const text = stage.sender.configuration(base + 1, Math.round(megabytes * routesAMegabyte))
      statuses.push(await changeUntilTaken(stage, base, text))
    }
    return statuses
  },
})

export const burstScenes: readonly BurstScene[] = [
  bodies(30),
  bodies(60),
  bodies(120),
  ...[1, 16, 200, 16_384].map(pieces),
  changes(40, 1.1),
  changes(12, 4.5),
  changes(12, 17),
  row(1, 4.5),
  row(20, 1.1),
]
