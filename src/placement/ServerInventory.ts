/**
 * The dispatcher's table of model servers, and the systems that keep it true: the census of charter and
 * platform, whom to read, who is known well enough to be ordered, and the bindings that reports make.
 */
import { z } from 'zod'
import { Network } from '../common/Network.js'
import type { Timings } from '../common/Timings.js'
import { PlatformServer } from '../common/PlatformServer.js'
import type { Report } from '../common/Report.js'
import type { BindingRow } from '../consensus/BindingRow.js'
import { CharterReader } from '../consensus/CharterReader.js'
import type { ReplicaTable } from '../consensus/ReplicaTable.js'
import type { PartsRow } from '../consensus/PartsRow.js'
import type { DispatcherOut } from './DispatcherOut.js'
import { FleetPlan } from './FleetPlan.js'
import { keyOf } from './keyOf.js'
import { ModelSizes } from './ModelSizes.js'
import type { ModelPlan } from './ModelPlan.js'
import type { ModelServer } from './ModelServer.js'

const keptLinks = 128
/** In a network: how long after the epoch's begin or the last asking a server is asked for its report. */
const unlistedMs = 300
const askAgainMs = 150
/** An adapter comes within some ms, and requests with an aim shorter than a report's lag wait for it. */
const attachAgainMs = 30
const silentMs = 1000
/** How often rows of sizes that nothing needs any more are looked for. */
const sizesCheckMs = 1000
const Emptied = z.object({ emptied: z.boolean() })

function holdings(report: Report): string {
  const keys = [...report.models.map((one) => one.model), ...report.adapters.map((one) => keyOf(one.model, one.adapter))]
  return keys.sort().join(' ')
}

export class ServerInventory {
  readonly #timings: Timings
  readonly #epoch: number
  /** No dispatcher was there before, so none of its orders can be under way. */
  readonly #first: boolean
  readonly #beganMs: number
  readonly #table = new Map<string, ModelServer>()
  readonly #published = new Map<string, { value: string; atMs: number }>()
  readonly #partsAtMs = new Map<string, number>()
  readonly #reader = new CharterReader()
  #copyStamp = -1
  #charter: CharterReader['charter']
  #fleet: FleetPlan | undefined
  #networkText = ''
  readonly #sizes = new ModelSizes()
  #sizesText = ''
  #sizesCheckedMs = -Infinity
  readonly #servers = new Map<string, { value: string; server: PlatformServer }>()
  readonly #bindings = new Map<string, { report: ModelServer['report']; task: ModelServer['task']; value: string }>()
  #boundStamp = -1
  /** Grows whenever a holding, an order or the table changes. */
  turn = 0

  constructor(timings: Timings, epoch: number, first: boolean, nowMs: number) {
    this.#timings = timings
    this.#epoch = epoch
    this.#first = first
    this.#beganMs = nowMs
  }

  get fleet(): FleetPlan | undefined {
    return this.#fleet
  }

  planOf(model: string): ModelPlan | undefined {
    return this.#fleet?.model(model)
  }

  get all(): readonly ModelServer[] {
    return [...this.#table.values()]
  }

  get(name: string): ModelServer | undefined {
    return this.#table.get(name)
  }

  /** Brings the table in line with the copy, when that has changed. */
  census(copy: ReplicaTable, nowMs: number, joins: (modelServer: ModelServer) => void, leaves: (modelServer: ModelServer) => void): void {
    if (copy.stamp === this.#copyStamp) return
    this.#copyStamp = copy.stamp
    this.turn += 1
    const listed = new Map(copy.under('server/').map(([name, value]) => [name, this.#parsed(name, value)]))
    for (const name of this.#servers.keys()) if (!listed.has(name)) this.#servers.delete(name)
    const areResized = this.#follow(copy, listed)
    for (const [name, plan] of this.#fleet?.servers ?? []) {
      const server = listed.get(name)
      let modelServer = this.#table.get(name)
      if (modelServer === undefined) {
        if (server === undefined) continue
        modelServer = this.#fresh(server, nowMs)
        joins(modelServer)
        this.#table.set(name, modelServer)
      }
      modelServer.roomMb = plan.roomMb
      modelServer.places = plan.places
      modelServer.open = server !== undefined && !server.draining && this.#fleet?.emptied.has(server.zone) !== true
      modelServer.cold = server?.cold === true
      modelServer.adapterMb = this.#sizes.adapterMb
      if (areResized) this.#resize(modelServer)
      if (server === undefined || (server.address === modelServer.address && server.zone === modelServer.zone)) continue
      modelServer.address = server.address
      modelServer.zone = server.zone
      modelServer.report = undefined
      modelServer.sequence = undefined
    }
    for (const [name, modelServer] of this.#table) {
      if (this.#fleet?.servers.has(name) === true && listed.has(name)) continue
      leaves(modelServer)
      this.#table.delete(name)
      this.#bindings.delete(name)
    }
  }

  #parsed(name: string, value: string): PlatformServer {
    const old = this.#servers.get(name)
    if (old?.value === value) return old.server
    const server = PlatformServer.parse(JSON.parse(value))
    this.#servers.set(name, { value, server })
    return server
  }

  /** The plan of a charter, else of a network, made anew where their rows have changed. True if a network's sizes may have changed. */
  #follow(copy: ReplicaTable, listed: ReadonlyMap<string, PlatformServer>): boolean {
    this.#reader.follow(copy)
    const { charter } = this.#reader
    if (charter !== undefined) {
      if (charter !== this.#charter) this.#fleet = FleetPlan.ofCharter(charter)
      this.#charter = charter
      return false
    }
    if (this.#charter !== undefined || copy.get('network') === undefined) {
      this.#charter = undefined
      this.#fleet = undefined
      this.#networkText = ''
      if (copy.get('network') === undefined) return false
    }
    const services = copy.under('service/').map(([, value]) => value)
    const zones = copy.under('zone/')
    const names = [...listed.values()].map((one) => `${one.name} ${one.service ?? ''}`)
    const sizesText = [...services, ...copy.under('retired/').flat()].join('\n')
    const text = [sizesText, ...zones.flat(), ...names].join('\n')
    if (text === this.#networkText) return false
    this.#networkText = text
    const emptied = zones.filter(([, value]) => Emptied.safeParse(JSON.parse(value)).data?.emptied === true)
    this.#fleet = FleetPlan.ofNetwork(
      services.flatMap((value) => {
        const read = Network.Service.safeParse(JSON.parse(value))
        return read.success ? [read.data] : []
      }),
      [...listed.values()],
      new Set(emptied.map(([zone]) => zone)),
    )
    this.#sizes.follow(this.#fleet, copy)
    const areResized = sizesText !== this.#sizesText
    this.#sizesText = sizesText
    return areResized
  }

  /** Counts what a server was last known to hold by the sizes of now. */
  #resize(modelServer: ModelServer): void {
    const { report } = modelServer
    if (report === undefined) return
    const models = report.models.map((one) => ({ ...one, sizeMb: this.#sizes.heldMb(one.model, modelServer) }))
    modelServer.report = { ...report, models }
  }

  #fresh(server: PlatformServer, nowMs: number): ModelServer {
    return {
      name: server.name,
      address: server.address,
      zone: server.zone,
      owner: this.#fleet?.counts === true ? server.service : undefined,
      capacity: server.capacity ?? 1,
      cold: false,
      roomMb: 0,
      places: 0,
      open: false,
      report: undefined,
      askedMs: -Infinity,
      answeredMs: nowMs,
      task: undefined,
      plan: undefined,
      backoffUntilMs: 0,
      sequence: undefined,
      leavingMs: -Infinity,
      settledMs: -Infinity,
      adapterMb: this.#sizes.adapterMb,
    }
  }

  /** Whom to read now; `settlesInMs` says how long an order that a counting server carries out is likely to take. */
  read(out: DispatcherOut, settlesInMs: (modelServer: ModelServer) => number, nowMs: number): void {
    if (this.#fleet?.counts === true) {
      this.#readCounting(out, settlesInMs, nowMs)
      return
    }
    for (const modelServer of this.#table.values()) {
      if (nowMs - modelServer.askedMs < (modelServer.task === undefined ? this.#timings.reportMs : this.#timings.reportMs / 6)) continue
      if (
        modelServer.task === undefined &&
        modelServer.answeredMs < modelServer.askedMs &&
        nowMs - modelServer.askedMs < this.#timings.reportStaleMs
      )
        continue
      modelServer.askedMs = nowMs
      out.asks.push({ server: modelServer.name, address: modelServer.address })
    }
  }

  /** Only where something hangs on it: each reading of a counting server is paid for. */
  #readCounting(out: DispatcherOut, settlesInMs: (modelServer: ModelServer) => number, nowMs: number): void {
    for (const modelServer of this.#table.values()) {
      const { task, report } = modelServer
      const againMs = task?.order.kind === 'attach' ? attachAgainMs : askAgainMs
      if (nowMs - modelServer.askedMs < (modelServer.answeredMs < modelServer.askedMs ? silentMs : againMs)) continue
      const settles =
        task?.phase === 'sent' &&
        (task.unansweredMs !== undefined || nowMs - Math.max(task.sentMs, task.takenMs ?? 0) >= settlesInMs(modelServer))
      const unknown =
        task === undefined &&
        (modelServer.plan !== undefined || report?.busy === true) &&
        (modelServer.sequence === undefined || report?.busy === true)
      const unlisted = report === undefined && nowMs - this.#beganMs > unlistedMs
      if (!settles && !unknown && !unlisted) continue
      modelServer.askedMs = nowMs
      out.asks.push({ server: modelServer.name, address: modelServer.address })
    }
  }

  /** What the platform's list says that servers hold, as of a moment; it yields to what a server itself said since its last order. */
  listed(servers: readonly PlatformServer[], asOfMs: number, lagMs: number, nowMs: number): void {
    for (const server of servers) {
      const modelServer = this.#table.get(server.name)
      if (modelServer === undefined || server.models === undefined || this.#fleet?.counts !== true) continue
      if (asOfMs <= modelServer.settledMs + lagMs || (modelServer.task !== undefined && modelServer.report !== undefined)) continue
      if (modelServer.report !== undefined && asOfMs <= modelServer.report.askedMs) continue
      const said: Report = {
        server: server.name,
        incarnation: server.name,
        madeMs: 0,
        models: server.models.map((one) => ({ model: one.model, state: 'loaded', sizeMb: 0, flights: 0 })),
        adapters: server.models.flatMap((one) =>
          one.adapters.map((adapter) => ({ model: one.model, adapter, state: 'loaded' as const, flights: 0 })),
        ),
        parts: [],
      }
      const report = { ...this.#keyed(modelServer, said), askedMs: asOfMs, heardMs: nowMs }
      if (modelServer.report !== undefined && holdings(modelServer.report) === holdings(report) && modelServer.report.busy !== true)
        continue
      if (modelServer.report !== undefined) modelServer.sequence = undefined
      modelServer.report = report
      this.turn += 1
    }
  }

  /** A network's report with the keys and sizes of the plan. */
  #keyed(modelServer: ModelServer, report: Report): Report {
    const prefix = `${modelServer.owner ?? ''}:`
    const key = (model: string) => (model.startsWith(prefix) ? model : prefix + model)
    return {
      ...report,
      incarnation: modelServer.name,
      models: report.models.map((one) => {
        const model = key(one.model)
        const order = modelServer.task?.order
        const comes = report.busy === true && order?.kind === 'load' && order.model === model
        return { ...one, model, state: comes ? ('loading' as const) : one.state, sizeMb: this.#sizes.heldMb(model, modelServer) }
      }),
      adapters: report.adapters.map((one) => ({ ...one, model: key(one.model) })),
    }
  }

  #reportedCounting(modelServer: ModelServer, report: Report, askedMs: number, nowMs: number): void {
    if (modelServer.report !== undefined && modelServer.report.askedMs > askedMs) return
    if (report.sequence !== undefined && modelServer.sequence !== undefined && report.sequence < modelServer.sequence) return
    modelServer.report = { ...this.#keyed(modelServer, report), askedMs, heardMs: nowMs }
    modelServer.sequence = report.sequence
    this.turn += 1
  }

  reported(server: string, report: Report | undefined, askedMs: number, nowMs: number): void {
    const modelServer = this.#table.get(server)
    if (modelServer === undefined) return
    modelServer.answeredMs = nowMs
    if (report === undefined || report.server !== server) return
    if (this.#fleet?.counts === true) {
      this.#reportedCounting(modelServer, report, askedMs, nowMs)
      return
    }
    const old = modelServer.report
    if (old !== undefined && old.incarnation === report.incarnation && old.madeMs > report.madeMs) return
    modelServer.report = { ...report, askedMs, heardMs: nowMs }
  }

  /** Read under this epoch, lately: only then is the server known well enough to be ordered. */
  known(modelServer: ModelServer, nowMs: number): modelServer is ModelServer & { report: NonNullable<ModelServer['report']> } {
    const { report } = modelServer
    if (this.#fleet?.counts === true) return report !== undefined && report.busy !== true
    if (report === undefined || report.askedMs < this.#beganMs || nowMs - report.askedMs > this.#timings.reportStaleMs) return false
    if (report.epoch !== undefined) return report.epoch <= this.#epoch
    return this.#first || nowMs - this.#beganMs > this.#timings.dutyLeaseMs + this.#timings.orderMs
  }

  /** True when most of the open servers have been silent for so long that the fault is rather on this side. */
  deaf(nowMs: number): boolean {
    if (nowMs - this.#beganMs < 0.7 * this.#timings.reportStaleMs) return false
    const open = this.all.filter((modelServer) => modelServer.open)
    if (this.#fleet?.counts === true) {
      const asked = open.filter((modelServer) => nowMs - modelServer.askedMs < 4 * this.#timings.reportStaleMs)
      const mute = asked.filter((modelServer) => modelServer.askedMs - modelServer.answeredMs > 0.7 * this.#timings.reportStaleMs)
      return asked.length > 1 && mute.length * 2 > asked.length
    }
    const silent = open.filter(
      (modelServer) => modelServer.report === undefined || nowMs - modelServer.report.askedMs > 0.7 * this.#timings.reportStaleMs,
    )
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
  publish(out: DispatcherOut, copy: ReplicaTable, key: string, value: string | undefined, nowMs: number): void {
    if (copy.get(key) === value) {
      this.#published.delete(key)
      return
    }
    const last = this.#published.get(key)
    if (last !== undefined && last.value === (value ?? '') && nowMs - last.atMs < this.#timings.electionMs) return
    this.#published.set(key, { value: value ?? '', atMs: nowMs })
    out.rows.push({ key, gone: value === undefined, value: value ?? '' })
  }

  /** What each server may be used for; a server that fell silent for nothing, unless it is this side that is cut off. */
  bind(copy: ReplicaTable, out: DispatcherOut, nowMs: number): void {
    if (this.#fleet?.counts === true) {
      this.#bindCounting(copy, out, nowMs)
      return
    }
    const deaf = this.deaf(nowMs)
    for (const modelServer of this.#table.values()) {
      const { report } = modelServer
      if (report === undefined || nowMs - report.askedMs > this.#timings.reportStaleMs) {
        if (!deaf && nowMs - this.#beganMs > this.#timings.reportStaleMs)
          this.publish(out, copy, `binding/${modelServer.name}`, undefined, nowMs)
        continue
      }
      const task = modelServer.task?.order
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
      this.publish(out, copy, `binding/${modelServer.name}`, JSON.stringify(binding), nowMs)
      this.#tellParts(modelServer, report, copy, out, nowMs)
    }
    for (const [name] of copy.under('binding/')) if (!this.#table.has(name)) this.publish(out, copy, `binding/${name}`, undefined, nowMs)
    for (const [name] of copy.under('parts/')) if (!this.#table.has(name)) this.publish(out, copy, `parts/${name}`, undefined, nowMs)
  }

  /** As above, where reports come only at need: what is on its way in or out is not named. */
  #bindCounting(copy: ReplicaTable, out: DispatcherOut, nowMs: number): void {
    for (const modelServer of this.#table.values()) {
      const { report, task } = modelServer
      if (report === undefined) continue
      let bound = this.#bindings.get(modelServer.name)
      if (bound?.report !== report || bound.task !== task) {
        const order = task?.order
        const moves = order === undefined ? '' : keyOf(order.model, order.adapter)
        const whole = order?.adapter === '' ? order.model : ''
        const binding: BindingRow = {
          incarnation: modelServer.name,
          models: report.models.flatMap((one) => (one.state === 'loaded' && one.model !== moves ? [one.model] : [])).sort(),
          adapters: report.adapters
            .flatMap((one) => (one.state === 'loaded' && one.model !== whole ? [keyOf(one.model, one.adapter)] : []))
            .filter((key) => key !== moves)
            .sort(),
        }
        bound = { report, task, value: JSON.stringify(binding) }
        this.#bindings.set(modelServer.name, bound)
      }
      this.publish(out, copy, `binding/${modelServer.name}`, bound.value, nowMs)
    }
    this.#dropOutdatedSizes(copy, out, nowMs)
    if (this.#boundStamp === copy.stamp) return
    this.#boundStamp = copy.stamp
    for (const prefix of ['binding/', 'order/'])
      for (const [name] of copy.under(prefix)) if (!this.#table.has(name)) this.publish(out, copy, prefix + name, undefined, nowMs)
  }

  #dropOutdatedSizes(copy: ReplicaTable, out: DispatcherOut, nowMs: number): void {
    if (nowMs - this.#sizesCheckedMs < sizesCheckMs) return
    this.#sizesCheckedMs = nowMs
    const listed = [...this.#servers.values()].map(({ server }) => server)
    for (const key of this.#sizes.outdatedRows(listed, this.#table)) this.publish(out, copy, key, undefined, nowMs)
  }

  /** The newest kept parts, seldom: each telling is a change of the log. */
  #tellParts(modelServer: ModelServer, report: Report, copy: ReplicaTable, out: DispatcherOut, nowMs: number): void {
    if (nowMs - (this.#partsAtMs.get(modelServer.name) ?? -Infinity) < this.#timings.partsMs) return
    this.#partsAtMs.set(modelServer.name, nowMs)
    const row: PartsRow = { incarnation: report.incarnation, links: report.parts.map((one) => one.chain).slice(-keptLinks) }
    this.publish(out, copy, `parts/${modelServer.name}`, JSON.stringify(row), nowMs)
  }
}
