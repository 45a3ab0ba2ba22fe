/**
 * A fault that a simulated run can bring about: it begins when it is called and returns what ends it. It
 * picks its victim by the run's seed.
 */
import type { Simulation } from './Simulation.js'

export type Fault = (sim: Simulation) => () => void
