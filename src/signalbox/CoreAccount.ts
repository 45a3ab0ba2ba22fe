/**
 * What a core machine tells operators of nodes, servers, the charter's leaves and the placement.
 */
import { Charter } from '../gauge/Charter.js'
import type { Pace } from '../gauge/Pace.js'
import { PlatformServer } from '../gauge/PlatformServer.js'
import { Tree } from '../gauge/Tree.js'
import type { Agreement } from '../interlocking/Agreement.js'
import type { Register } from '../interlocking/Register.js'
import type { Dispatcher } from '../timetable/Dispatcher.js'
import type { SeatDesk } from './SeatDesk.js'

export class CoreAccount {
  readonly #pace: Pace
  readonly #agreement: Agreement
  readonly #desk: SeatDesk
  readonly #addressOf: (identity: string) => string
  readonly #lifeOf: (seat: string) => number
  jumped: { atMs: number; byMs: number } | undefined

  constructor(pace: Pace, agreement: Agreement, desk: SeatDesk, addressOf: (identity: string) => string, lifeOf: (seat: string) => number) {
    this.#pace = pace
    this.#agreement = agreement
    this.#desk = desk
    this.#addressOf = addressOf
    this.#lifeOf = lifeOf
  }

  placement(register: Register, dispatcher: Dispatcher | undefined, nowMs: number): unknown {
    const duty = register.duty('dispatcher')
    return {
      tenure: duty?.tenure ?? 0,
      holder: duty?.holder ?? '',
      unmet: dispatcher?.unmet ?? [],
      reasons: dispatcher?.reasons.map((reason) => ({ ...reason, agoMs: Math.round(nowMs - reason.atMs) })) ?? [],
    }
  }

  leaves(register: Register): { path: string; value: Tree; from: string }[] {
    const tree = Tree.read(register.copy.get('charter') ?? 'null') ?? null
    const charter = Charter.check(tree).toMaybe().extractNullable()
    const leaves = Tree.leaves(tree).map(([path, value]) => ({ path, value, from: path }))
    for (const partner of Object.keys(charter?.partners ?? {})) {
      for (const [path, value] of Tree.leaves(Tree.at(tree, ['defaults']) ?? null)) {
        const own = Tree.at(tree, ['partners', partner, 'limits', ...path.split('.')])
        if (own === undefined) leaves.push({ path: `partners.${partner}.limits.${path}`, value, from: `defaults.${path}` })
      }
    }
    return leaves
  }

  nodes(register: Register, names: readonly string[], nowMs: number): unknown {
    const seats = new Map(this.#desk.licences.seats)
    return {
      leader: this.#agreement.leader,
      term: this.#agreement.term,
      commit: this.#agreement.commit,
      core: this.#agreement.members.map((one) => ({
        ...one,
        address: this.#addressOf(one.identity),
        session: String(this.#lifeOf(one.seat)),
        alive: one.identity === this.#agreement.identity || nowMs - this.#agreement.heardMs(one.identity) < this.#pace.electionMs,
      })),
      dispatcher: register.duty('dispatcher') ?? null,
      seats: names.map((seat) => ({
        seat,
        zone: seats.get(seat)?.zone ?? '',
        address: seats.get(seat)?.address ?? '',
        session: seats.get(seat)?.session ?? '',
        adopted: seats.get(seat)?.adopted ?? 0,
        alive: this.#desk.licences.alive(seat, nowMs),
      })),
      stamp: register.copy.stamp,
      system: this.#agreement.system,
      exhausted: this.#desk.exhausted,
      syncMs: this.#agreement.syncMs,
      jumped: this.jumped === undefined ? null : { byMs: this.jumped.byMs, agoMs: Math.round(nowMs - this.jumped.atMs) },
    }
  }

  servers(register: Register): unknown {
    const { copy } = register
    return copy.under('server/').map(([name, value]) => {
      const binding = copy.get(`binding/${name}`)
      const order = copy.get(`order/${name}`)
      const binds: unknown = binding === undefined ? null : JSON.parse(binding)
      const under: unknown = order === undefined ? null : JSON.parse(order)
      return { ...PlatformServer.parse(JSON.parse(value)), binding: binds, order: under }
    })
  }
}
