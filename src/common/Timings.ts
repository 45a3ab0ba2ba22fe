/**
 * All durations that the processes use, each as a ratio of a bound from the startup. This is the
 * one file to read when a figure seems too long or too short. The lease is the pivot: a node that
 * fell silent has surely stopped starting work one lease later, so a charter that waits for
 * silent nodes is still acknowledged well inside its bound.
 */
import type { Bounds } from './Bounds.js'

export interface Timings {
  tickMs: number
  heartbeatMs: number
  electionMs: number
  electionSpreadMs: number
  diskStallMs: number
  leaseMs: number
  renewMs: number
  /** A lease that came longer ago is not echoed any more. */
  echoMs: number
  adoptMs: number
  probeMs: number
  operateMs: number
  askMs: number
  platformMs: number
  platformSilentMs: number
  reportMs: number
  reportStaleMs: number
  partsMs: number
  /** The longest that withdrawing, unloading and being told of it usually takes, two orders deep. */
  makeRoomMs: number
  dutyLeaseMs: number
  orderMs: number
  firstByteMs: number
  streamIdleMs: number
  retryWindowMs: number
  /** How long after it was asked for a further try may begin by its grant. */
  grantMs: number
  recoverMs: number
  parentSilentMs: number
  frozenMs: number
  /** The longest that a network's write waits for machines that have not adopted it. */
  deliverMs: number
  /** A core machine that has been silent for so long is given up. */
  memberGoneMs: number
  /** A connection whose other end shows nothing of what it was sent for so long is made anew. */
  connectionDeadMs: number
  /** The shortest time between two attempts to connect to the same address. */
  redialMs: number
  /** The longest that a control node which is stopped waits for others to take over from it. */
  leaveMs: number
}

export function Timings(bounds: Bounds): Timings {
  const leaseMs = 0.4 * bounds.charterMs
  return {
    tickMs: leaseMs / 32,
    heartbeatMs: 0.01 * bounds.recoverMs,
    electionMs: 0.06 * bounds.recoverMs,
    electionSpreadMs: 0.06 * bounds.recoverMs,
    diskStallMs: 0.09 * bounds.recoverMs,
    leaseMs,
    renewMs: leaseMs / 4,
    echoMs: 0.5 * leaseMs,
    adoptMs: 0.25 * bounds.charterMs,
    probeMs: 0.02 * bounds.recoverMs,
    operateMs: 0.75 * bounds.recoverMs,
    askMs: 0.2 * bounds.recoverMs,
    platformMs: 0.15 * bounds.drainMs,
    platformSilentMs: 0.45 * bounds.drainMs,
    reportMs: 0.1 * bounds.drainMs,
    reportStaleMs: 0.5 * bounds.drainMs,
    partsMs: bounds.drainMs,
    makeRoomMs: 0.5 * bounds.recoverMs,
    dutyLeaseMs: 0.1 * bounds.recoverMs,
    orderMs: 0.5 * bounds.recoverMs,
    firstByteMs: 0.2 * bounds.recoverMs,
    streamIdleMs: 0.5 * bounds.recoverMs,
    retryWindowMs: bounds.emptyMs,
    grantMs: 0.04 * bounds.emptyMs,
    recoverMs: bounds.recoverMs,
    parentSilentMs: 0.3 * leaseMs,
    frozenMs: 0.4 * leaseMs,
    deliverMs: 0.4 * bounds.charterMs,
    memberGoneMs: 0.67 * bounds.recoverMs,
    connectionDeadMs: 0.08 * bounds.recoverMs,
    redialMs: 0.01 * bounds.recoverMs,
    leaveMs: 0.1 * bounds.recoverMs,
  }
}
