/**
 * A simulated proxy of a data-plane node, with the requests of its callers and what of them is at servers.
 */
import type { ProxyEffect } from '../proxy/ProxyEffect.js'
import type { ProxyInput } from '../proxy/ProxyInput.js'
import type { ProxyMachine } from '../proxy/ProxyMachine.js'
import type { SimAsk } from './SimAsk.js'
import type { SimFlight } from './SimFlight.js'
import type { SimProcess } from './SimProcess.js'

export interface SimProxyNode {
  readonly process: SimProcess<ProxyInput, ProxyEffect, ProxyMachine>
  readonly address: string
  readonly zone: string
  /** The requests that wait for their answers, by id. */
  readonly asks: Map<string, SimAsk>
  /** The attempts that are connected to a server, by the id of their request. */
  readonly flights: Map<string, SimFlight>
}
