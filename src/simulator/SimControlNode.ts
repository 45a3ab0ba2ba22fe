/**
 * A simulated control node: its process, and the disk that outlives it.
 */
import type { ControlEffect } from '../control/ControlEffect.js'
import type { ControlInput } from '../control/ControlInput.js'
import type { ControlMachine } from '../control/ControlMachine.js'
import type { SimDisk } from './SimDisk.js'
import type { SimProcess } from './SimProcess.js'

export interface SimControlNode {
  readonly process: SimProcess<ControlInput, ControlEffect, ControlMachine>
  readonly disk: SimDisk
  address: string
  readonly zone: string
}
