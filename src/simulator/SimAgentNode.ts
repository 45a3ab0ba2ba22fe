/**
 * A simulated agent of a data-plane node.
 */
import type { AgentEffect } from '../agent/AgentEffect.js'
import type { AgentInput } from '../agent/AgentInput.js'
import type { AgentMachine } from '../agent/AgentMachine.js'
import type { SimProcess } from './SimProcess.js'

export interface SimAgentNode {
  readonly process: SimProcess<AgentInput, AgentEffect, AgentMachine>
  address: string
  readonly zone: string
}
