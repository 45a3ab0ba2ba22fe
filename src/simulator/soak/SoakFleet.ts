/**
 * The processes, servers, list, clients and operator of one soak, each on loopback addresses of this run alone,
 * and the troubles that befall them.
 */
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { clockMs } from '../../common/clockMs.js'
import { SoakBursts } from './SoakBursts.js'
import { SoakClients } from './SoakClients.js'
import type { SoakDialect } from './SoakDialect.js'
import { SoakList } from './SoakList.js'
import type { SoakLog } from './SoakLog.js'
import { SoakMemoryWatch } from './SoakMemoryWatch.js'
import { SoakNode } from './SoakNode.js'
import { SoakOperator } from './SoakOperator.js'
import { SoakScene } from './SoakScene.js'
import type { SoakSeat } from './SoakSeat.js'
import { SoakServer } from './SoakServer.js'
import type { SoakSize } from './SoakSize.js'
import { holdAddress } from './holdAddress.js'
import type { Trouble } from './Trouble.js'

const listHost = 2
const firstControl = 10
const firstGateway = 100
const firstEngine = 40
const firstPlain = 60
const firstScroll = 70
const firstNet = 64
const nets = 128
const hosts = 256

export class SoakFleet {
  readonly nodes: readonly SoakNode[]
  readonly servers: readonly SoakServer[]
  readonly list: SoakList
  readonly clients: SoakClients
  readonly operator: SoakOperator
  readonly #log: SoakLog
  readonly #bursts: SoakBursts
  readonly #memoryWatch: SoakMemoryWatch
  readonly #dialect: SoakDialect
  readonly #releases = new Map<string, () => Promise<void>>()
  readonly #cuts = new Map<string, Trouble['kind']>()

  constructor(seed: number, size: SoakSize, folder: string, entry: string, dialect: SoakDialect, log: SoakLog) {
    this.#log = log
    // A part of loopback that belongs to this process alone, so that soaks may run beside each other.
    const net = `127.${String(firstNet + (Math.floor(process.pid / hosts) % nets))}.${String(process.pid % hosts)}`
    const ip = (host: number) => `${net}.${String(host)}`
    this.servers = [
      ...SoakScene.servers.map((one, at) => {
        return new SoakServer({ ...one, ip: ip(firstEngine + at), service: SoakScene.modelService }, dialect, log)
      }),
      ...SoakScene.plain.map((one, at) => {
        return new SoakServer({ ...one, ip: ip(firstPlain + at), service: SoakScene.plainService, holds: [] }, dialect, log)
      }),
      ...SoakScene.scrolls(size).map((one, at) => {
        return new SoakServer({ ...one, ip: ip(firstScroll + at), service: SoakScene.scrollService, holds: [] }, dialect, log)
      }),
    ]
    this.list = new SoakList(ip(listHost), this.servers, dialect)
    const seeds = SoakScene.controls.map((_, at) => ip(firstControl + at))
    const common = { zones: SoakScene.zones, seeds, list: this.list.address }
    const controls = SoakScene.controls.map((one, at): SoakSeat => {
      return { ...common, ...one, role: 'control', ip: ip(firstControl + at), data: join(folder, one.name), bootstrap: true }
    })
    const gateways = SoakScene.gateways(size).map((one, at): SoakSeat => {
      return { ...common, ...one, role: 'gateway', ip: ip(firstGateway + at), data: '', bootstrap: true }
    })
    this.nodes = [...controls, ...gateways].map((seat) => new SoakNode(seat, dialect, entry, folder, log))
    this.#dialect = dialect
    this.#bursts = new SoakBursts(dialect, log)
    this.#memoryWatch = new SoakMemoryWatch(this.nodes, log)
    this.clients = new SoakClients(seed, size, gateways, dialect, log)
    this.operator = new SoakOperator(seed + 1, controls, dialect, log)
  }

  async start(): Promise<void> {
    for (const server of this.servers) await server.open()
    await this.list.open()
    for (const node of this.nodes) await node.start()
    void this.#memoryWatch.run()
  }

  async stop(): Promise<void> {
    this.#memoryWatch.stop()
    this.operator.stop()
    for (const release of this.#releases.values()) await release()
    await Promise.all(this.nodes.map((node) => node.kill()))
    for (const server of this.servers) await server.crash()
    this.list.close()
  }

  /** Brings the troubles about at their times, and takes each away again. */
  async suffer(troubles: readonly Trouble[], fromMs: number): Promise<void> {
    await Promise.all(
      troubles.map(async (trouble) => {
        await pause(Math.max(0, fromMs + trouble.fromMs - clockMs()))
        // A successor that is started at its predecessor's SIGTERM makes that no other stop.
        const kind = trouble.kind === 'overlapStart' ? 'stop' : trouble.kind
        const span = { who: trouble.target, kind, fromMs: clockMs(), toMs: Infinity }
        this.#log.spans.push(span)
        await this.#begin(trouble)
        // A process that was stopped is started again as soon as it has ended.
        if (trouble.kind !== 'stop') await pause(Math.max(0, fromMs + trouble.toMs - clockMs()))
        await this.#end(trouble)
        span.toMs = clockMs()
      }),
    )
  }

  async #begin({ kind, target }: Trouble): Promise<void> {
    const node = this.nodes.find((one) => one.seat.name === target)
    const server = this.servers.find((one) => one.plan.name === target)
    if (kind === 'kill') await node?.kill()
    else if (kind === 'stop') await node?.stop()
    else if (kind === 'reload') await node?.reload()
    else if (kind === 'holdAddress') await this.#startBesideHolder(node)
    else if (kind === 'overlapStart') await this.#startBesidePredecessor(node)
    else if (kind === 'burstBodies') {
      if (node !== undefined) await this.#bursts.sendBodies(node.seat)
    } else if (kind === 'burstChanges') {
      if (node !== undefined) await this.#bursts.sendChanges(node.seat)
    } else if (kind === 'freeze') node?.signal('SIGSTOP')
    else if (kind === 'cut' || kind === 'cutOut') this.#setCut(target, kind)
    else if (kind === 'crashServer') await server?.crash()
    else if (kind === 'slowServer') {
      if (server !== undefined) server.slow = true
    } else if (kind === 'breakAnswers') {
      if (server !== undefined) server.breaksAnswers = true
    } else if (kind === 'loseOrders') for (const one of this.servers) one.losesAnswers = true
    else this.operator.losesAnswers = true
  }

  async #end({ kind, target }: Trouble): Promise<void> {
    const node = this.nodes.find((one) => one.seat.name === target)
    const server = this.servers.find((one) => one.plan.name === target)
    if (kind === 'kill' || kind === 'stop') await node?.start()
    else if (kind === 'reload' || kind === 'burstBodies' || kind === 'burstChanges') return
    else if (kind === 'holdAddress' || kind === 'overlapStart') await this.#releases.get(target)?.()
    else if (kind === 'freeze') node?.signal('SIGCONT')
    else if (kind === 'cut' || kind === 'cutOut') this.#setCut(target, undefined)
    else if (kind === 'crashServer') await server?.open()
    else if (kind === 'slowServer') {
      if (server !== undefined) server.slow = false
    } else if (kind === 'breakAnswers') {
      if (server !== undefined) server.breaksAnswers = false
    } else if (kind === 'loseOrders') for (const one of this.servers) one.losesAnswers = false
    else this.operator.losesAnswers = false
  }

  /** Kills a node and starts it anew while somebody else has one of its addresses. */
  async #startBesideHolder(node: SoakNode | undefined): Promise<void> {
    if (node === undefined) return
    await node.kill()
    const { callers, operators } = this.#dialect.ports
    this.#releases.set(node.seat.name, await holdAddress(node.seat.ip, node.seat.role === 'control' ? operators : callers))
    await node.start()
  }

  /** Asks a node to stop and starts its successor at once. */
  async #startBesidePredecessor(node: SoakNode | undefined): Promise<void> {
    if (node === undefined) return
    const stopped = node.stop()
    this.#releases.set(node.seat.name, () => stopped)
    await node.start()
  }

  /** A cut node reaches nobody, and unless only its ways out are cut, no other node reaches it. */
  #setCut(target: string, kind: Trouble['kind'] | undefined): void {
    if (kind === undefined) this.#cuts.delete(target)
    else this.#cuts.set(target, kind)
    const everyone = [
      ...this.nodes.map((one) => one.seat.ip),
      ...this.servers.map((one) => one.plan.ip),
      this.list.address.slice(0, this.list.address.lastIndexOf(':')),
    ]
    const away = this.nodes.filter((one) => this.#cuts.get(one.seat.name) === 'cut').map((one) => one.seat.ip)
    for (const node of this.nodes) node.cut(this.#cuts.has(node.seat.name) ? everyone : away)
  }
}
