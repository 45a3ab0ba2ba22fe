/**
 * All hosts of a simulated run: control nodes, data-plane nodes and servers.
 */
import type { Simulation } from './Simulation.js'

export function hostsOf({ controlPlane, dataPlane, fleet }: Simulation): string[] {
  const dataNodes = [...dataPlane.agents.keys()].map((name) => `host-${name}`)
  return [...controlPlane.nodes.keys(), ...dataNodes, ...fleet.servers.keys()]
}
