/**
 * What the charter or a network says of a model: whose it is (a partner's, or a service's), its size, what
 * a load takes where the plan says so, its adapters, and the servers that may hold it where that is limited.
 */
export interface ModelPlan {
  key: string
  owner: string
  sizeMb: number
  loadMs: number | undefined
  adapters: readonly string[]
  adapterMb: number
  servers: readonly string[] | undefined
  intent: { weight: number; coldStartCost: number; hours: readonly { from: number; to: number }[] }
}
