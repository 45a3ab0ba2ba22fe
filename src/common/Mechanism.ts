/**
 * The optional mechanisms of placement and routing, each of which can be switched off in the settings to measure what it
 * is worth. What keeps a promise or a limit is not among them.
 */
import { z } from 'zod'

export const Mechanism = z.enum([
  /** Placement: a model is loaded ahead of the window in which its next request is forecast. */
  'forecast-loads',
  /** Placement: further copies of a model with more requests at once than its copies bear. */
  'crowd-copies',
  /** Placement: a second copy, in another zone, of what is asked for steadily. */
  'zone-spares',
  /** Placement: a model that has waited for two loads' time takes its turn, whoever is inside a window. */
  'turns',
  /** Placement: a server that has held the model before is preferred, as it loads it from its own disk. */
  'disk-affinity',
  /** Routing: a request goes where the shared parts of its prompt are likely kept. */
  'prefix-affinity',
  /** Routing: what all gateways have at a server counts, as far as it was told, not only this one's own requests. */
  'shared-loads',
  /** Routing: how soon a server answered of late counts. */
  'latency-estimate',
  /** Routing: a server of the gateway's own zone is preferred. */
  'zone-affinity',
  /** Routing: a server that failed a request is left alone for a while. */
  'suspects',
  /** Routing: a request that may be repeated leaves a server that gives nothing to anyone. */
  'leave-silent',
  /** Routing: a request that surely did not run, or may be repeated, is sent to another server. */
  'further-tries',
  /** Routing: a request waits on for a load that is under way and likely ends in time. */
  'hold-for-load',
  /** Routing: of the requests that wait, the more urgent go first. */
  'urgency-order',
])
export type Mechanism = z.infer<typeof Mechanism>
