/**
 * The whole system in one process under virtual time, from one seed: the daemons' own machines over
 * a simulated network, disks and clocks, with stand-ins for servers, platform, callers and operators.
 * The run is calm, then faulty, then quiet; what was observed from outside goes to the invariant checker.
 */
import { Random } from '../common/Random.js'
import { digest } from '../common/digest.js'
import { Timings } from '../common/Timings.js'
import type { PlatformServer } from '../common/PlatformServer.js'
import { Verdict } from '../common/Verdict.js'
import { refound } from '../consensus/refound.js'
import type { AgentEffect } from '../agent/AgentEffect.js'
import type { AgentInput } from '../agent/AgentInput.js'
import { AgentMachine } from '../agent/AgentMachine.js'
import type { Report } from '../common/Report.js'
import type { Message } from '../transport/Message.js'
import type { ControlEffect } from '../control/ControlEffect.js'
import type { ControlInput } from '../control/ControlInput.js'
import { ControlMachine } from '../control/ControlMachine.js'
import type { ProxyEffect } from '../proxy/ProxyEffect.js'
import type { ProxyInput } from '../proxy/ProxyInput.js'
import { ProxyMachine } from '../proxy/ProxyMachine.js'
import type { Observation } from './Observation.js'
import type { SimAsk } from './SimAsk.js'
import { SimCallers } from './SimCallers.js'
import { SimClock } from './SimClock.js'
import { SimDisk } from './SimDisk.js'
import { SimNetwork } from './SimNetwork.js'
import { SimOperators } from './SimOperators.js'
import type { SimOptions } from './SimOptions.js'
import { SimProcess } from './SimProcess.js'
import type { SimServer } from './SimServer.js'
import { StandInServer } from './StandInServer.js'

const bounds = { charterMs: 2000, drainMs: 3000, emptyMs: 5000, recoverMs: 12000 }
type Box = SimProcess<ControlInput, ControlEffect, ControlMachine>
interface SimBox {
  process: Box
  disk: SimDisk
  address: string
  zone: string
}
interface Flight {
  server: SimServer
  state: StandInServer
  cancelled: boolean
  end: () => void
}
export class Simulation {
  readonly options: SimOptions
  readonly bounds = bounds
  readonly timings = Timings(bounds)
  readonly clock = new SimClock()
  readonly random: Random
  readonly network: SimNetwork
  readonly observations: Observation[] = []
  readonly boxes = new Map<string, SimBox>()
  readonly agents = new Map<string, { process: SimProcess<AgentInput, AgentEffect, AgentMachine>; address: string; zone: string }>()
  readonly proxies = new Map<
    string,
    {
      process: SimProcess<ProxyInput, ProxyEffect, ProxyMachine>
      address: string
      zone: string
      asks: Map<string, SimAsk>
      flights: Map<string, Flight>
    }
  >()
  readonly servers = new Map<string, SimServer>()
  readonly callers: SimCallers
  readonly operators: SimOperators
  /** Where processes that start now look first. */
  seeds: string[] = []
  /** The system that agents which start now are told to follow; any, at first. */
  system = ''
  /** How far a core machine's wall clock is off, in hours. */
  readonly hoursOff = new Map<string, number>()
  /** Since when the core lacks a majority that can act and be heard. */
  #downFromMs: number | undefined
  #ports = 1000

  constructor(options: SimOptions) {
    this.options = options
    this.random = new Random(options.seed)
    this.network = new SimNetwork(this.clock, this.random.fork(), this.timings.connectionDeadMs)
    this.network.resets = options.broken !== 'resets' && options.broken !== 'staleRenewals'
    this.network.overdue = (message, ageMs) => {
      this.see({ kind: 'overdue', atMs: this.clock.nowMs, message: message.kind, ageMs })
    }
    this.network.meter = options.meter
    this.callers = new SimCallers(this)
    this.operators = new SimOperators(this)
    const { deployment } = options
    for (const box of deployment.boxes) this.boxes.set(box.name, this.#makeBox(box.name, box.zone))
    this.seeds = [...this.boxes.values()].map((box) => box.address)
    for (const post of deployment.proxies) this.#makePost(post.name, post.zone)
    for (const server of deployment.servers) {
      this.servers.set(server.name, {
        name: server.name,
        host: server.name,
        zone: server.zone,
        kind: server.kind,
        address: this.freshAddress(server.name),
        state: undefined,
        dark: false,
        lives: 0,
        draining: false,
        listed: true,
        lagMs: 200,
        orderLoss: 0,
        orderSlowMs: 0,
        breaksRuns: 0,
        slowness: 1,
        claims: undefined,
        nonsense: false,
        watchers: new Set(),
      })
      this.startServer(server.name)
    }
    this.clock.every(50, () => {
      const up = [...this.boxes.values()].filter(
        ({ process }) =>
          process.alive && !process.frozen && [...this.boxes.keys()].every((other) => this.network.connected(process.host, other)),
      )
      const heard = up.some(({ process }) =>
        [...this.agents.values()].some(
          (post) =>
            post.process.alive &&
            this.network.connected(process.host, post.process.host) &&
            this.network.connected(post.process.host, process.host),
        ),
      )
      const down = up.length * 2 <= this.boxes.size || !heard || this.network.lossRatio > 0
      if (down && this.#downFromMs === undefined) this.#downFromMs = this.clock.nowMs
      else if (!down && this.#downFromMs !== undefined) {
        this.see({ kind: 'coreDown', atMs: this.clock.nowMs, fromMs: this.#downFromMs })
        this.#downFromMs = undefined
      }
    })
    this.clock.every(50, () => {
      for (const server of this.servers.values()) server.state?.advance(this.clock.nowMs)
    })
    for (const name of this.boxes.keys()) this.startBox(name)
    for (const name of this.agents.keys()) this.startPost(name)
  }

  readonly see = (observation: Observation): void => {
    this.observations.push(observation)
    this.clock.note(observation.kind)
  }

  freshAddress(host: string): string {
    this.#ports += 1
    return `10.0.${String(digest(host) % 250)}.1:${String(this.#ports)}`
  }

  // Processes.

  #makeBox(name: string, zone: string, host = name): SimBox {
    const disk = new SimDisk(this.clock, this.random.fork())
    disk.lies = this.options.broken === 'sync'
    const tick = () => ({ kind: 'tick' as const, hour: this.#hour(name) })
    const process: Box = new SimProcess<ControlInput, ControlEffect, ControlMachine>(
      name,
      host,
      this.clock,
      this.random.fork(),
      this.timings.tickMs,
      tick,
      (effect, life) => {
        this.#performBox(box, effect, life)
      },
    )
    const box = { process, disk, address: this.freshAddress(host), zone }
    return box
  }

  /** A machine that was given up wakes, with the disk that it had, beside whatever stands in its seat now. */
  wakeOld(name: string, records: readonly Uint8Array[]): void {
    const box = this.#makeBox(name, this.boxes.get(name)?.zone ?? '', `old-${name}`)
    box.disk.records = [...records]
    this.#start(name, box)
  }

  #hour(name: string): number {
    return (12 + this.clock.nowMs / 3_600_000 + (this.hoursOff.get(name) ?? 0) + 24) % 24
  }

  startBox(name: string): void {
    const box = this.boxes.get(name)
    if (box !== undefined && !box.process.alive) this.#start(name, box)
  }

  #start(name: string, box: SimBox): void {
    const { deployment } = this.options
    const machine = new ControlMachine(
      {
        name,
        zone: box.zone,
        address: box.address,
        seeds: this.seeds,
        seats: deployment.boxes.map((one) => one.name),
        bootstrap: false,
        fenced: false,
        rewriteBytes: 60_000,
        policy: this.options.policy,
        system: box.process.host === name ? this.system : '',
        targetVoters: 3,
      },
      this.timings,
      this.random.fork(),
      box.disk.records,
      box.process.nowMs,
    )
    this.network.open(box.address, box.process.host, (from, fromAddress, message) => {
      box.process.deliver({ kind: 'message', from, fromAddress, message: this.#forBox(message, machine, box.process.nowMs) })
      if (message.kind === 'renew') this.#watchCredit(machine, message.seat, message.session)
    })
    box.process.start(machine, machine.begin())
  }

  /** Where a run is to take stale renewals for fresh ones, each seems to echo a lease of this moment. */
  #forBox(message: Message, machine: ControlMachine, nowMs: number): Message {
    if (this.options.broken !== 'staleRenewals' || message.kind !== 'renew') return message
    return { ...message, leaseTerm: machine.raft.term, leaseGrantedMs: nowMs }
  }

  /** Sees whether a renewal was counted that a former life sent, while the present one has had a lease. */
  #watchCredit(machine: ControlMachine, seat: string, session: string): void {
    const present = this.agents.get(seat)?.process.machine
    if (present === undefined || present.session === session || present.heardCoreMs === -Infinity) return
    if (machine.creditedSession(seat) === session) this.see({ kind: 'formerLife', atMs: this.clock.nowMs, seat })
  }

  killBox(name: string, power: boolean): void {
    const box = this.boxes.get(name)
    if (box === undefined) return
    this.network.close(box.address)
    if (power) box.disk.cutPower()
    box.process.kill()
  }

  /** A core machine whose disk is gone comes back empty, elsewhere; the seeds follow. */
  replaceBox(name: string): void {
    const box = this.boxes.get(name)
    if (box === undefined) return
    this.killBox(name, true)
    box.disk.lose()
    const old = box.address
    box.address = this.freshAddress(name)
    this.seeds = this.seeds.map((seed) => (seed === old ? box.address : seed))
  }

  /** Founds the core again from the disk of one stopped machine. */
  refoundBox(name: string): void {
    const box = this.boxes.get(name)
    if (box === undefined || box.process.alive) return
    this.system = `again-${String(Math.round(this.clock.nowMs))}`
    const again = refound(box.disk.records, { seat: name, address: box.address, system: this.system })
    if (again !== undefined) box.disk.records = again.records
  }

  #performBox(box: SimBox, effect: ControlEffect, life: number): void {
    const { process } = box
    const { name, host } = process
    const back = (waitMs: number, input: ControlInput) => {
      this.clock.after(waitMs, () => {
        if (process.life === life) process.deliver(input)
      })
    }
    switch (effect.kind) {
      case 'send':
        this.network.send(name, host, box.address, effect.toAddress, effect.message)
        break
      case 'write': {
        box.disk.write(effect.records, effect.rewrite, () => {
          if (process.life !== life) return
          for (const send of effect.then) this.network.send(name, host, box.address, send.toAddress, send.message)
          process.deliver({ kind: 'written' })
        })
        break
      }
      case 'respond': {
        this.operators.responded(effect.id, effect.status, effect.stamp, effect.text)
        break
      }
      case 'askPlatform': {
        const servers = this.#platformList()
        back(this.random.between(2, 40), { kind: 'platform', servers, askedMs: effect.askedMs })
        break
      }
      case 'ask': {
        const server = this.#serverAt(effect.address, host)
        if (server?.state === undefined) {
          back(server === undefined ? 2 : this.timings.reportStaleMs / 2, {
            kind: 'reported',
            server: effect.server,
            report: undefined,
            askedMs: effect.askedMs,
          })
          break
        }
        const report = server.nonsense ? undefined : this.#bend(server.state.report(effect.epoch, this.clock.nowMs))
        back(this.random.between(1, 3) + server.lagMs * this.random.between(0.5, 1.5), {
          kind: 'reported',
          server: effect.server,
          report,
          askedMs: effect.askedMs,
        })
        break
      }
      case 'order':
        this.#order(host, effect, back)
        break
      case 'say':
        this.clock.note(effect.sentence)
        break
    }
  }

  /** Where a run is to break a rule of the dispatcher, its reports are bent. */
  #bend(report: Report): Report {
    if (this.options.broken === 'room') return { ...report, models: report.models.map((one) => ({ ...one, sizeMb: 0 })) }
    if (this.options.broken === 'flights')
      return {
        ...report,
        models: report.models.map((one) => ({ ...one, flights: 0 })),
        adapters: report.adapters.map((one) => ({ ...one, flights: 0 })),
      }
    return report
  }

  #order(host: string, effect: Extract<ControlEffect, { kind: 'order' }>, back: (waitMs: number, input: ControlInput) => void): void {
    const server = this.#serverAt(effect.address, host)
    const reply = (kind: 'accepted' | 'turnedAway' | 'unknown', waitMs: number) => {
      back(waitMs, { kind: 'replied', server: effect.server, epoch: effect.order.epoch, number: effect.order.number, reply: kind })
    }
    if (server === undefined || this.random.hit(server.orderLoss / 2)) {
      reply('unknown', this.timings.reportStaleMs)
      return
    }
    this.clock.after(this.random.between(1, 5) + server.orderSlowMs * this.random.next(), () => {
      if (server.state === undefined || server.address !== effect.address) return
      const status = server.state.take(effect.order, this.clock.nowMs)
      if (!this.random.hit(server.orderLoss / 2)) reply(status === 202 ? 'accepted' : 'turnedAway', this.random.between(1, 5))
    })
  }

  #platformList(): PlatformServer[] {
    return [...this.servers.values()]
      .filter((one) => one.listed)
      .map((one) => ({ name: one.name, address: one.address, zone: one.zone, draining: one.draining && this.options.broken !== 'drain' }))
  }

  #makePost(name: string, zone: string): void {
    const host = `host-${name}`
    const proxyName = `${name}-proxy`
    const agent = new SimProcess<AgentInput, AgentEffect, AgentMachine>(
      name,
      host,
      this.clock,
      this.random.fork(),
      this.timings.tickMs,
      () => ({ kind: 'tick' }),
      (effect) => {
        if (effect.kind === 'send')
          this.network.send(
            name,
            host,
            this.agents.get(name)?.address ?? '',
            effect.toAddress,
            this.options.broken === 'flights' && effect.message.kind === 'tally' ? { ...effect.message, flights: [] } : effect.message,
          )
        else if (effect.kind === 'say') this.clock.note(effect.sentence)
        else if (effect.kind === 'askPlatform')
          this.clock.after(this.random.between(2, 40), () => {
            agent.deliver({ kind: 'platform', servers: this.#platformList() })
          })
      },
    )
    const proxy = new SimProcess<ProxyInput, ProxyEffect, ProxyMachine>(
      proxyName,
      host,
      this.clock,
      this.random.fork(),
      this.timings.tickMs,
      () => ({ kind: 'tick' }),
      (effect, life) => {
        this.#performProxy(name, effect, life)
      },
    )
    this.agents.set(name, { process: agent, address: this.freshAddress(host), zone })
    this.proxies.set(name, { process: proxy, address: this.freshAddress(host), zone, asks: new Map(), flights: new Map() })
  }

  startPost(name: string): void {
    const agent = this.agents.get(name)
    const proxy = this.proxies.get(name)
    if (agent === undefined || proxy === undefined) return
    if (!agent.process.alive) {
      agent.process.start(
        new AgentMachine(
          { name, zone: agent.zone, address: agent.address, seeds: this.seeds, proxy: proxy.address, system: this.system },
          this.timings,
          this.random.fork(),
          agent.process.nowMs,
        ),
      )
      this.network.open(agent.address, agent.process.host, (from, fromAddress, message) => {
        agent.process.deliver({ kind: 'message', from, fromAddress, message })
      })
    }
    if (proxy.process.alive) return
    proxy.process.start(
      new ProxyMachine({ name: `${name}-proxy`, seat: name, zone: proxy.zone, agent: agent.address }, this.timings, this.random.fork()),
    )
    this.network.open(proxy.address, proxy.process.host, (from, fromAddress, message) => {
      proxy.process.deliver({ kind: 'message', from, fromAddress, message: this.#forProxy(message) })
    })
  }

  /** Where a run is to break a rule of the proxies, their news are bent. */
  #forProxy(message: Message): Message {
    const { broken } = this.options
    if (broken === 'lease' && message.kind === 'permit') return { ...message, forMs: 1e9 }
    if (broken === 'recovery' && message.kind === 'permit' && this.clock.nowMs > this.callers.hurtFromMs) return { ...message, forMs: 0 }
    if (broken === 'emptied' && (message.kind === 'news' || message.kind === 'mend')) {
      const bent = (value: string) => value.replaceAll('"emptied":true', '"emptied":false')
      return { ...message, rows: message.rows.map((row) => (row.key === 'charter' ? { ...row, value: bent(row.value) } : row)) }
    }
    return message
  }

  killProxy(name: string): void {
    const proxy = this.proxies.get(name)
    if (proxy === undefined) return
    this.network.close(proxy.address)
    proxy.process.kill()
    for (const flight of proxy.flights.values()) {
      flight.cancelled = true
      flight.end()
    }
    for (const ask of proxy.asks.values()) this.see({ kind: 'left', atMs: this.clock.nowMs, request: ask.request, why: '' })
    proxy.flights.clear()
    proxy.asks.clear()
  }

  /** A caller who goes away before its answer. */
  leave(post: string, id: string): void {
    const proxy = this.proxies.get(post)
    const ask = proxy?.asks.get(id)
    if (proxy === undefined || ask === undefined) return
    proxy.asks.delete(id)
    this.see({ kind: 'left', atMs: this.clock.nowMs, request: ask.request, why: '' })
    proxy.process.deliver({ kind: 'callerGone', id })
  }

  killAgent(name: string): void {
    const agent = this.agents.get(name)
    if (agent === undefined) return
    this.network.close(agent.address)
    agent.process.kill()
  }

  // Servers.

  startServer(name: string): void {
    const server = this.servers.get(name)
    const plan = this.options.deployment.servers.find((one) => one.name === name)
    if (server === undefined || plan === undefined || server.state !== undefined) return
    server.lives += 1
    server.dark = false
    const { warmMs, coldLimit } = this.options.deployment.charter.defaults
    server.state = new StandInServer(
      {
        ...plan,
        loadMbPerS: this.options.deployment.loadMbPerS,
        checksEpoch: !this.options.uncheckedEpoch,
        enforcesEpoch: this.options.broken !== 'staleOrders' && !this.options.uncheckedEpoch,
        warmMs,
        coldLimit,
      },
      `${name}.${String(server.lives)}`,
      this.clock.nowMs,
      this.see,
    )
    this.see({ kind: 'serverUp', atMs: this.clock.nowMs, server: name, zone: server.zone })
  }

  crashServer(name: string): void {
    const server = this.servers.get(name)
    if (server?.state === undefined) return
    server.state = undefined
    for (const watcher of [...server.watchers]) watcher()
    server.watchers.clear()
  }

  #serverAt(address: string, fromHost: string): SimServer | undefined {
    for (const server of this.servers.values()) {
      if (server.address === address)
        return this.network.connected(fromHost, server.host) && this.network.connected(server.host, fromHost) && !server.dark
          ? server
          : { ...server, state: undefined, dark: true }
    }
    return undefined
  }

  // What a proxy does towards servers and callers.

  #performProxy(name: string, effect: ProxyEffect, life: number): void {
    const proxy = this.proxies.get(name)
    if (proxy === undefined) return
    const { process, asks, flights } = proxy
    const back = (waitMs: number, input: ProxyInput) => {
      this.clock.after(waitMs, () => {
        if (process.life === life) process.deliver(input)
      })
    }
    switch (effect.kind) {
      case 'send':
        this.network.send(process.name, process.host, proxy.address, effect.toAddress, effect.message)
        break
      case 'say':
        this.clock.note(effect.sentence)
        break
      case 'attempt': {
        const server = this.#serverAt(effect.address, process.host)
        if (server?.dark === true) break
        if (server?.state === undefined) {
          back(1, { kind: 'defect', id: effect.id, attempt: effect.attempt, verdict: Verdict.notRun, why: 'the connection was not taken' })
          break
        }
        const { state } = server
        const real = this.servers.get(server.name)
        if (real === undefined) break
        this.clock.after(this.random.between(0.5, 2), () => {
          if (process.life !== life) return
          if (real.state !== state || real.dark) return
          flights.set(effect.id, { server: real, state, cancelled: false, end: () => undefined })
          const said = this.options.broken === 'identity' ? effect.server : (server.claims ?? server.name)
          back(this.random.between(0.2, 1), {
            kind: 'identified',
            id: effect.id,
            attempt: effect.attempt,
            server: said,
            incarnation: state.incarnation,
            upMs: this.options.broken === 'cold' ? 1e9 : state.upMs(this.clock.nowMs),
          })
        })
        break
      }
      case 'go':
        this.#go(name, effect.id, effect.attempt, back)
        break
      case 'relay':
        break
      case 'release': {
        const flight = flights.get(effect.id)
        flights.delete(effect.id)
        if (flight === undefined) break
        this.clock.after(this.random.between(0.3, 1.5), () => {
          flight.cancelled = true
          flight.end()
        })
        break
      }
      case 'turnAway': {
        const ask = asks.get(effect.id)
        asks.delete(effect.id)
        if (ask !== undefined)
          this.see({
            kind: 'turnedAway',
            atMs: this.clock.nowMs,
            request: ask.request,
            status: effect.status,
            verdict: this.options.broken === 'told' ? Verdict.notRun : effect.verdict,
            retryAfter: effect.retryAfterS > 0,
            wokeMs: process.wokeMs,
            why: effect.why,
          })
        break
      }
      case 'breakOff': {
        const ask = asks.get(effect.id)
        asks.delete(effect.id)
        flights.delete(effect.id)
        if (ask !== undefined) this.see({ kind: 'brokenOff', atMs: this.clock.nowMs, request: ask.request })
        break
      }
    }
  }

  #go(name: string, id: string, attempt: number, back: (waitMs: number, input: ProxyInput) => void): void {
    const proxy = this.proxies.get(name)
    const flight = proxy?.flights.get(id)
    const ask = proxy?.asks.get(id)
    if (proxy === undefined || flight === undefined || ask === undefined) return
    back(0, { kind: 'sent', id, attempt })
    const { server, state } = flight
    const { deployment } = this.options
    const broken = this.options.broken === 'verdict' ? Verdict.notRun : Verdict.mayHaveRun
    const lost = () => {
      back(this.random.between(0.2, 1), { kind: 'defect', id, attempt, verdict: broken, why: 'the connection broke' })
    }
    this.clock.after(this.random.between(0.2, 1), () => {
      if (flight.cancelled) return
      if (server.state !== state) {
        lost()
        return
      }
      const model = ask.kind === 'model' ? ask.service : ''
      if (!state.allows(model, ask.adapter, this.clock.nowMs)) {
        back(0.5, { kind: 'head', id, attempt, notRun: true })
        return
      }
      const run = `${state.incarnation} ${ask.request} ${String(this.clock.nowMs)}`
      const sum = digest(run)
      this.see({
        kind: 'ran',
        atMs: this.clock.nowMs,
        request: ask.request,
        marks: [ask.request],
        server: server.name,
        service: ask.service,
        sum,
        incarnation: state.incarnation,
        wokeMs: proxy.process.wokeMs,
      })
      state.begin(model, ask.adapter, this.clock.nowMs)
      this.callers.parts += ask.chain.length
      this.callers.partsKept += state.keep(model, ask.chain)
      let open = true
      const finish = (got: number) => {
        if (flight.cancelled || proxy.asks.get(id) !== ask) return
        proxy.asks.delete(id)
        proxy.flights.delete(id)
        this.see({ kind: 'whole', atMs: this.clock.nowMs, request: ask.request, status: 200, sum: got })
        this.callers.waited(ask, this.clock.nowMs - ask.askedMs)
        proxy.process.deliver({ kind: 'ended', id, attempt })
      }
      let headed = false
      const crashed = () => {
        if (!open) return
        open = false
        if (this.options.broken === 'whole' && headed) finish(sum + 1)
        else lost()
      }
      flight.end = () => {
        if (!open) return
        open = false
        server.watchers.delete(crashed)
        if (server.state === state) state.end(model, ask.adapter)
      }
      server.watchers.add(crashed)
      if (this.random.hit(server.breaksRuns)) {
        this.clock.after(this.random.between(0.5, 20), () => {
          if (!open) return
          flight.end()
          open = true
          crashed()
        })
      }
      const usualMs = (ask.kind === 'model' ? deployment.modelRunMs : deployment.serviceRunMs) * this.random.between(0.5, 1.5)
      const startMs = this.clock.nowMs
      const runMs = (ask.runMs ?? usualMs) * server.slowness
      /** What a dark server would have sent comes once it is lit again, unless the line was given up as idle before. */
      const lit = (idle: boolean, sinceMs: number, then: () => void) => {
        if (!open) return
        if (!server.dark) then()
        else if (idle && this.clock.nowMs - sinceMs > this.timings.streamIdleMs) {
          flight.end()
          lost()
        } else
          this.clock.after(100, () => {
            lit(idle, sinceMs, then)
          })
      }
      this.clock.after(runMs / ask.lines, () => {
        lit(false, 0, () => {
          back(this.random.between(0.2, 1), { kind: 'head', id, attempt, notRun: false })
          this.clock.after(1.1, () => {
            headed = true
          })
          const endsMs = startMs + runMs + 1
          this.clock.at(Math.max(endsMs, this.clock.nowMs + 1.2), () => {
            lit(true, this.clock.nowMs, () => {
              flight.end()
              this.clock.after(1.2, () => {
                finish(sum)
              })
            })
          })
        })
      })
    })
  }
}
