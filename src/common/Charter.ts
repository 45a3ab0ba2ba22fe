/**
 * The charter: what operators want. A tree of shared defaults and a branch for each partner that
 * overrides leaves; services, models with their adapters and intents; the fleet's servers with their
 * room; zones. Checked leaf by leaf, then as a whole: no dangling name, no model too large for every
 * server that may hold it.
 */
import { Either, Left, Right } from 'purify-ts'
import { z } from 'zod'

const Name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be lower-case letters, digits, dots, dashes')
const Intent = z.strictObject({
  weight: z.number().positive().max(1000),
  coldStartCost: z.number().nonnegative().max(1000),
  hours: z.array(z.strictObject({ from: z.number().min(0).max(24), to: z.number().min(0).max(24) })).max(24),
})
const leaves = {
  dueMs: z.number().int().min(10).max(3_600_000),
  bodyLimitBytes: z.number().int().min(1).max(1_000_000_000),
  retryRatio: z.number().min(0).max(0.2),
  retryAllowance: z.number().int().min(0).max(1000),
  coldLimit: z.number().int().min(1).max(10_000),
  warmMs: z.number().int().min(0).max(3_600_000),
  serverLimit: z.number().int().min(1).max(100_000),
}
const Limits = z.strictObject({ ...leaves, intent: Intent })
const Overrides = z.strictObject({ ...leaves, intent: Intent.partial() }).partial()
const Service = z.strictObject({
  servers: z.array(Name).min(1),
  repeatable: z.boolean(),
  limits: Overrides.optional(),
})
const Model = z.strictObject({
  sizeMb: z.number().positive(),
  adapters: z.array(Name).default([]),
  adapterMb: z.number().nonnegative().default(0),
  servers: z.array(Name).optional(),
  repeatable: z.boolean().default(false),
  limits: Overrides.optional(),
})
const Branch = z.strictObject({
  limits: Overrides.default({}),
  services: z.record(Name, Service).default({}),
  models: z.record(Name, Model).default({}),
})
const ServerPlan = z.strictObject({
  kind: z.enum(['model', 'service']),
  roomMb: z.number().nonnegative().default(0),
  places: z.number().int().nonnegative().default(0),
})
const Tree = z.strictObject({
  defaults: Limits,
  partners: z.record(Name, Branch),
  fleet: z.strictObject({
    servers: z.record(Name, ServerPlan),
    storePaceMbPerS: z.number().positive(),
    storeBurstMb: z.number().positive(),
  }),
  zones: z.record(Name, z.strictObject({ emptied: z.boolean() })).default({}),
})

export const Charter = {
  check(tree: unknown): Either<string[], Charter> {
    const read = Tree.safeParse(tree)
    if (!read.success) return Left(read.error.issues.map((issue) => `${issue.path.join('.') || 'charter'}: ${issue.message}`))
    const charter = read.data
    const errors: string[] = []
    const owners = new Map<string, string>()
    for (const [partner, branch] of Object.entries(charter.partners)) {
      for (const kind of ['services', 'models'] as const) {
        for (const name of Object.keys(branch[kind])) {
          const other = owners.get(`${kind}.${name}`)
          if (other !== undefined) errors.push(`partners.${partner}.${kind}.${name}: already named by ${other}`)
          owners.set(`${kind}.${name}`, partner)
        }
      }
      for (const [name, service] of Object.entries(branch.services)) {
        service.servers.forEach((server, at) => {
          const plan = charter.fleet.servers[server]
          if (plan?.kind !== 'service')
            errors.push(`partners.${partner}.services.${name}.servers.${at}: no service server is named ${server}`)
        })
      }
      for (const [name, model] of Object.entries(branch.models)) {
        const path = `partners.${partner}.models.${name}`
        model.servers?.forEach((server, at) => {
          if (charter.fleet.servers[server]?.kind !== 'model') errors.push(`${path}.servers.${at}: no model server is named ${server}`)
        })
        const fits = Object.entries(charter.fleet.servers).some(
          ([server, plan]) =>
            plan.kind === 'model' &&
            plan.roomMb >= model.sizeMb &&
            (model.adapters.length === 0 || plan.places > 0) &&
            (model.servers?.includes(server) ?? true),
        )
        if (charter.fleet.storeBurstMb < Math.max(model.sizeMb, model.adapterMb))
          errors.push(`${path}.sizeMb: is over fleet.storeBurstMb, so the store could never be drawn on for it`)
        if (!fits) errors.push(`${path}.sizeMb: fits on no server that may hold it`)
        if (new Set(model.adapters).size !== model.adapters.length) errors.push(`${path}.adapters: names one twice`)
      }
    }
    return errors.length > 0 ? Left(errors) : Right(charter)
  },

  /** The limits that hold for a service or model: its own, over its partner's, over the defaults. */
  limits(charter: Charter, partner: string, own: z.infer<typeof Overrides> | undefined): z.infer<typeof Limits> {
    const branch = charter.partners[partner]?.limits
    const merged: Record<string, unknown> = { ...charter.defaults, ...branch, ...own }
    return Limits.parse({ ...merged, intent: { ...charter.defaults.intent, ...branch?.intent, ...own?.intent } })
  },
}
export type Charter = z.infer<typeof Tree>
