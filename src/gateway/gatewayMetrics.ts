/**
 * A gateway's figures, read from its task when they are asked for.
 */
import { memoryMetrics } from '../common/memoryMetrics.js'
import type { Meters } from '../common/Meters.js'
import { transportHelps } from '../transport/transportHelps.js'
import type { GatewayTask } from './GatewayTask.js'

const helps: Readonly<Record<string, string>> = {
  ready: '1 while it takes callers',
  in_touch: '1 while its lease runs and all that the core told of is here',
  requests_open: 'requests under way, held ones among them',
  requests_held: 'requests that wait for a server',
  servers_known: "servers that the core's table lists",
  members_known: 'gateways that the leader told to be alive, this one among them',
  lease_left_ms: 'what is left of the lease from the core',
  peers_left_ms: 'what is left of the word of other seats',
  stamp: 'the stamp of the copy',
  core_stamp: 'the newest stamp that was told of',
  barred: "servers that the platform's list takes away while the core is silent",
}

const delayLabels = ['outcome', 'cause', 'urgency']

function labelsOf(count: { outcome: string; cause: string; urgency: number }): Record<string, string> {
  return { outcome: count.outcome, cause: count.cause, urgency: String(count.urgency) }
}

export function gatewayMetrics(meters: Meters, task: GatewayTask): void {
  const { counts } = task
  meters.readCounter('requests', 'requests that ended, by outcome and status', ['outcome', 'status'], () => counts.requests)
  meters.readCounter('refusals', 'requests that the gateway refused itself, by reason', ['reason'], () => counts.refusals)
  meters.readCounter('attempts', 'tries of requests at servers, the first of each or a further one', ['kind'], () => counts.attempts)
  meters.readCounter('first_bytes', 'first bytes of answers and refusals, by what most of the time until then went to', delayLabels, () =>
    [...task.machine.delays.all].map((one) => ({ labels: labelsOf(one), value: one.requests })),
  )
  meters.readCounter('first_bytes_beyond_aim_ms', "time until then beyond the route's aim, in sum", delayLabels, () =>
    [...task.machine.delays.all].map((one) => ({ labels: labelsOf(one), value: one.beyondAimMs })),
  )
  memoryMetrics(meters, task.memory)
  meters.gauges({ ...helps, ...transportHelps }, () => task.figures)
}
