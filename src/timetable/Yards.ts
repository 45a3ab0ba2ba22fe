/**
 * The dispatcher's table of model servers, and the systems that keep it true: the census of charter and
 * platform, whom to read, who is known well enough to be ordered, and the bindings that reports make.
 */
import type { Charter } from '../gauge/Charter.js'
import type { Pace } from '../gauge/Pace.js'
import { PlatformServer } from '../gauge/PlatformServer.js'
import type { Report } from '../gauge/Report.js'
import type { BindingRow } from '../interlocking/BindingRow.js'
import { CharterReader } from '../interlocking/CharterReader.js'
import type { Copy } from '../interlocking/Copy.js'
import type { PartsRow } from '../interlocking/PartsRow.js'
import type { DispatcherOut } from './DispatcherOut.js'
import { keyOf } from './keyOf.js'
import type { Yard } from './Yard.js'

const keptLinks = 128

export class Yards {
  readonly #pace: Pace
  readonly #tenure: number
  /** No dispatcher was there before, so none of its orders can be under way. */
  readonly #first: boolean
  readonly #beganMs: number
  readonly #table = new Map<string, Yard>()
  readonly #published = new Map<string, { value: string; atMs: number }>()
  readonly #partsAtMs = new Map<string, number>()
  readonly #reader = new CharterReader()
  #copyStamp = -1

  constructor(pace: Pace, tenure: number, first: boolean, nowMs: number) {
    this.#pace = pace
    this.#tenure = tenure
    this.#first = first
    this.#beganMs = nowMs
  }

  get charter(): Charter | undefined {
    return this.#reader.charter
  }

  /** What the charter says of a model, whichever partner's it is. */
  planOf(model: string): Charter['partners'][string]['models'][string] | undefined {
    return Object.values(this.charter?.partners ?? {})
      .map((branch) => branch.models[model])
      .find((one) => one !== undefined)
  }

  get all(): readonly Yard[] {
    return [...this.#table.values()]
  }

  get(name: string): Yard | undefined {
    return this.#table.get(name)
  }

  /** Brings the table in line with the copy, when that has changed. */
  census(copy: Copy, nowMs: number, joins: (yard: Yard) => void, leaves: (yard: Yard) => void): void {
    if (copy.stamp === this.#copyStamp) return
    this.#copyStamp = copy.stamp
    this.#reader.follow(copy)
    const listed = new Map(copy.under('server/').map(([name, value]) => [name, PlatformServer.parse(JSON.parse(value))]))
    for (const [name, plan] of Object.entries(this.charter?.fleet.servers ?? {})) {
      if (plan.kind !== 'model') continue
      const server = listed.get(name)
      let yard = this.#table.get(name)
      if (yard === undefined) {
        if (server === undefined) continue
        yard = this.#fresh(server, nowMs)
        joins(yard)
        this.#table.set(name, yard)
      }
      yard.roomMb = plan.roomMb
      yard.places = plan.places
      yard.open = server !== undefined && !server.draining && this.charter?.zones[server.zone]?.emptied !== true
      if (server === undefined || (server.address === yard.address && server.zone === yard.zone)) continue
      yard.address = server.address
      yard.zone = server.zone
      yard.report = undefined
    }
    for (const [name, yard] of this.#table) {
      if (this.charter?.fleet.servers[name]?.kind === 'model' && listed.has(name)) continue
      leaves(yard)
      this.#table.delete(name)
    }
  }

  #fresh(server: PlatformServer, nowMs: number): Yard {
    return {
      name: server.name,
      address: server.address,
      zone: server.zone,
      roomMb: 0,
      places: 0,
      open: false,
      report: undefined,
      askedMs: -Infinity,
      answeredMs: nowMs,
      task: undefined,
      plan: undefined,
      backoffUntilMs: 0,
    }
  }

  read(out: DispatcherOut, nowMs: number): void {
    for (const yard of this.#table.values()) {
      if (nowMs - yard.askedMs < (yard.task === undefined ? this.#pace.reportMs : this.#pace.reportMs / 6)) continue
      if (yard.task === undefined && yard.answeredMs < yard.askedMs && nowMs - yard.askedMs < this.#pace.reportStaleMs) continue
      yard.askedMs = nowMs
      out.asks.push({ server: yard.name, address: yard.address })
    }
  }

  reported(server: string, report: Report | undefined, askedMs: number, nowMs: number): void {
    const yard = this.#table.get(server)
    if (yard === undefined) return
    yard.answeredMs = nowMs
    if (report === undefined || report.server !== server) return
    const old = yard.report
    if (old !== undefined && old.incarnation === report.incarnation && old.madeMs > report.madeMs) return
    yard.report = { ...report, askedMs, heardMs: nowMs }
  }

  /** Read under this tenure, lately: only then is the server known well enough to be ordered. */
  known(yard: Yard, nowMs: number): yard is Yard & { report: NonNullable<Yard['report']> } {
    const { report } = yard
    if (report === undefined || report.askedMs < this.#beganMs || nowMs - report.askedMs > this.#pace.reportStaleMs) return false
    if (report.tenure !== undefined) return report.tenure <= this.#tenure
    return this.#first || nowMs - this.#beganMs > this.#pace.dutyLicenceMs + this.#pace.orderMs
  }

  /** True when most of the open servers have been silent for so long that the fault is rather on this side. */
  deaf(nowMs: number): boolean {
    if (nowMs - this.#beganMs < 0.7 * this.#pace.reportStaleMs) return false
    const open = this.all.filter((yard) => yard.open)
    const silent = open.filter((yard) => yard.report === undefined || nowMs - yard.report.askedMs > 0.7 * this.#pace.reportStaleMs)
    return open.length > 1 && silent.length * 2 > open.length
  }

  /** True when a load of the model, or an attach of this adapter, is planned or under way somewhere. */
  coming(model: string, adapter: string): boolean {
    for (const { plan, task } of this.#table.values()) {
      if (plan?.model === model && (plan.adapter === '' || plan.adapter === adapter)) return true
      if (task?.order.model === model && (task.order.kind === 'load' || (task.order.kind === 'attach' && task.order.adapter === adapter)))
        return true
    }
    return false
  }

  /** Puts a row to the log, and again when it was lost on the way. */
  publish(out: DispatcherOut, copy: Copy, key: string, value: string | undefined, nowMs: number): void {
    if (copy.get(key) === value) {
      this.#published.delete(key)
      return
    }
    const last = this.#published.get(key)
    if (last !== undefined && last.value === (value ?? '') && nowMs - last.atMs < this.#pace.electionMs) return
    this.#published.set(key, { value: value ?? '', atMs: nowMs })
    out.rows.push({ key, gone: value === undefined, value: value ?? '' })
  }

  /** What each server may be used for; a server that fell silent for nothing, unless it is this side that is cut off. */
  bind(copy: Copy, out: DispatcherOut, nowMs: number): void {
    const deaf = this.deaf(nowMs)
    for (const yard of this.#table.values()) {
      const { report } = yard
      if (report === undefined || nowMs - report.askedMs > this.#pace.reportStaleMs) {
        if (!deaf && nowMs - this.#beganMs > this.#pace.reportStaleMs) this.publish(out, copy, `binding/${yard.name}`, undefined, nowMs)
        continue
      }
      const task = yard.task?.order
      const leaving = task?.kind === 'unload' ? task.model : ''
      const detaching = task?.kind === 'detach' ? keyOf(task.model, task.adapter) : ''
      const models = report.models.filter((one) => one.state === 'loaded' && one.model !== leaving)
      const adapters = report.adapters.filter((one) => one.state === 'loaded' && one.model !== leaving)
      const binding: BindingRow = {
        incarnation: report.incarnation,
        models: models.map((one) => one.model).sort(),
        adapters: adapters
          .map((one) => keyOf(one.model, one.adapter))
          .filter((key) => key !== detaching)
          .sort(),
      }
      this.publish(out, copy, `binding/${yard.name}`, JSON.stringify(binding), nowMs)
      this.#tellParts(yard, report, copy, out, nowMs)
    }
    for (const [name] of copy.under('binding/')) if (!this.#table.has(name)) this.publish(out, copy, `binding/${name}`, undefined, nowMs)
    for (const [name] of copy.under('parts/')) if (!this.#table.has(name)) this.publish(out, copy, `parts/${name}`, undefined, nowMs)
  }

  /** The newest kept parts, seldom: each telling is a change of the log. */
  #tellParts(yard: Yard, report: Report, copy: Copy, out: DispatcherOut, nowMs: number): void {
    if (nowMs - (this.#partsAtMs.get(yard.name) ?? -Infinity) < this.#pace.partsMs) return
    this.#partsAtMs.set(yard.name, nowMs)
    const row: PartsRow = { incarnation: report.incarnation, links: report.parts.map((one) => one.chain).slice(-keptLinks) }
    this.publish(out, copy, `parts/${yard.name}`, JSON.stringify(row), nowMs)
  }
}
