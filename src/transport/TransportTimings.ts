/**
 * What the transport goes by of the timings.
 */
import type { Timings } from '../common/Timings.js'

export type TransportTimings = Pick<Timings, 'connectionDeadMs' | 'redialMs'>
