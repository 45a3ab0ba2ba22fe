/**
 * The policy of every deployment: iWS-BFE, with models loaded ahead of their windows.
 */
import { Mechanisms } from '../common/Mechanisms.js'
import { evict } from './evict.js'
import type { Policy } from './Policy.js'

export const edgeMulti: Policy = { evict, foresees: true, mechanisms: Mechanisms.all }
