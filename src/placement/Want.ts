/**
 * A model or an adapter that is wanted somewhere: because requests wait for it, because one is forecast,
 * because its partner wants it in these hours, because its copies bear no more, or as a spare, a second copy in another zone.
 */
export interface Want {
  model: string
  adapter: string
  partner: string
  kind: 'held' | 'forecast' | 'hours' | 'busy' | 'spare'
  dueInMs: number
  urgency: number
  nextMs: number
  deltaMs: number
  /** Zones that have a copy already, which a spare is to avoid. */
  zones: readonly string[]
  why: string
}
