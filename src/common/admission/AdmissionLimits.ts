/**
 * How much a process takes on for others at a time, worked out from the memory and the descriptors that it may take.
 */
const bytesPerMb = 1_000_000
/** Descriptors that are no connection of others: files, pipes, and a floor for connections that the process makes itself. */
const keptDescriptors = 200
/** Parts of the other descriptors; what is left is for connections that the process makes itself. */
const callersRatio = 0.5
const nodesRatio = 0.25
const probesRatio = 0.02
const leastProbes = 8
/** What a request without an answer takes of the memory, a whole one and one that hasn't begun. */
const openRequestBytes = 65_536
const waitingRequestBytes = 262_144
/** The part of the memory that strangers' frames may take before one of them is whole. */
const strangersRatio = 1 / 32

export class AdmissionLimits {
  /** Connections of callers or operators. */
  readonly callerConnections: number
  /** Connections of other nodes. */
  readonly nodeConnections: number
  /** Connections that ask whether the process is ready. */
  readonly probeConnections: number
  /** Requests that have begun and have no answer, over all connections of a door. */
  readonly openRequests: number
  /** Requests that wait for earlier ones on their connection, over all connections of a door. */
  readonly waitingRequests: number
  /** What is held of the first frames of all connections that have brought none yet, in bytes. */
  readonly strangersBytes: number

  /** `memoryMb` in megabytes. */
  constructor(memoryMb: number, fileDescriptors: number) {
    const memoryBytes = memoryMb * bytesPerMb
    const shared = Math.max(0, fileDescriptors - keptDescriptors)
    const part = (ratio: number) => Math.max(leastProbes, Math.floor(ratio * shared))
    this.callerConnections = part(callersRatio)
    this.nodeConnections = part(nodesRatio)
    this.probeConnections = part(probesRatio)
    this.openRequests = Math.floor(memoryBytes / openRequestBytes)
    this.waitingRequests = Math.floor(memoryBytes / waitingRequestBytes)
    this.strangersBytes = Math.floor(strangersRatio * memoryBytes)
  }
}
