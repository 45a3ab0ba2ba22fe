/**
 * How a dispatcher finds room: who makes way, and whether models are loaded ahead of forecast requests.
 */
import type { evict } from './evict.js'

export interface Policy {
  evict: typeof evict
  foresees: boolean
}
