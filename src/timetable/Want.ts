/**
 * A model or an adapter that is wanted somewhere: because requests wait for it, because one is forecast,
 * because its partner wants it in these hours, or as a spare, a second copy in another zone.
 */
export interface Want {
  model: string
  adapter: string
  partner: string
  kind: 'held' | 'forecast' | 'hours' | 'spare'
  dueInMs: number
  urgency: number
  nextMs: number
  deltaMs: number
  /** Zones that have a copy already, which a spare is to avoid. */
  zones: readonly string[]
  why: string
}
