/**
 * How a dispatcher finds room: who makes way, whether models are loaded ahead of forecast requests, and which of the
 * optional mechanisms are switched on.
 */
import type { Mechanisms } from '../common/Mechanisms.js'
import type { evict } from './evict.js'

export interface Policy {
  evict: typeof evict
  foresees: boolean
  mechanisms: Mechanisms
}
