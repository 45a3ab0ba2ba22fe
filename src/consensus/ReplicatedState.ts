/**
 * What the agreed log adds up to: the shared table, the charter with the texts that made it, the outcomes
 * of operations as far as a repeat must find them, and the network that stands in the table as rows.
 * Applying is deterministic, so that every replica comes to the same state; whether a write is proper is
 * judged here, in log order, and nowhere else.
 */
import type { Either } from 'purify-ts'
import { z } from 'zod'
import { Charter } from '../common/Charter.js'
import { Configuration } from '../common/Configuration.js'
import { Network } from '../common/Network.js'
import { Tree } from '../common/Tree.js'
import { Command } from './Command.js'
import { ReplicaTable } from './ReplicaTable.js'
import { DutyRow } from './DutyRow.js'
import { NamedOutcomes } from './NamedOutcomes.js'
import { NetworkOutcomes } from './NetworkOutcomes.js'
import type { Outcome } from './Outcome.js'
import type { Settlement } from './Settlement.js'
import { ZoneOrders } from './ZoneOrders.js'
import { PlatformServer } from '../common/PlatformServer.js'
import { keptTexts } from './keptTexts.js'
import { retireModels } from './retireModels.js'

const Text = z.object({
  stamp: z.number(),
  action: z.string(),
  branch: z.string(),
  operation: z.string(),
  text: z.string(),
  whole: z.string(),
})
/** The format of a saved state: 1 had no version and no network, and a newer one than this is refused. */
const stateVersion = 2
const Version = z.object({ version: z.number().default(1) })
const State = z.object({
  version: z.number().default(1),
  rows: z.array(z.object({ key: z.string(), stamp: z.number(), gone: z.boolean(), value: z.string() })),
  stamp: z.number(),
  texts: z.array(Text),
  outcomes: NamedOutcomes.Saved,
  networkOutcomes: NetworkOutcomes.Saved.default({ revisions: [], refusals: [], forgotten: 0 }),
  zones: ZoneOrders.Saved.default([]),
  network: z.string().default(''),
})
const unguarded = -1
const noJudgement = (stamp: number, error: string): Outcome => ({ status: 503, stamp, errors: [error] })

export class ReplicatedState {
  readonly copy = new ReplicaTable()
  #texts: z.infer<typeof Text>[] = []
  #textBytes = 0
  readonly #outcomes = new NamedOutcomes()
  readonly #networkOutcomes = new NetworkOutcomes()
  readonly #zoneOrders = new ZoneOrders()
  #configuration: Configuration | undefined

  static restore(state: Uint8Array): ReplicatedState {
    const saved: unknown = JSON.parse(Buffer.from(state).toString())
    const { version } = Version.parse(saved)
    if (version > stateVersion)
      throw new Error(`the saved state has version ${String(version)}; this program reads versions up to ${String(stateVersion)}`)
    const read = State.parse(saved)
    const replicatedState = new ReplicatedState()
    replicatedState.copy.adopt(0, read.stamp, read.rows)
    replicatedState.#texts = read.texts
    replicatedState.#textBytes = read.texts.reduce((sum, one) => sum + one.text.length + one.whole.length, 0)
    replicatedState.#outcomes.restore(read.outcomes)
    replicatedState.#networkOutcomes.restore(read.networkOutcomes)
    replicatedState.#zoneOrders.restore(read.zones)
    if (read.network !== '') {
      replicatedState.#configuration = Network.check(JSON.parse(read.network), 0).caseOf<Configuration>({
        Left: (errors) => {
          throw new Error(`the saved network is none that this program knows: ${errors.join('; ')}`)
        },
        Right: (network) => new Configuration(network),
      })
    }
    return replicatedState
  }

  save(): Uint8Array {
    const state: z.infer<typeof State> = {
      version: stateVersion,
      rows: this.copy.dump(),
      stamp: this.copy.stamp,
      texts: this.#texts,
      outcomes: this.#outcomes.save(),
      networkOutcomes: this.#networkOutcomes.save(),
      zones: this.#zoneOrders.save(),
      network: this.#configuration === undefined ? '' : JSON.stringify(this.#configuration.network),
    }
    return Buffer.from(JSON.stringify(state))
  }

  get charterStamp(): number {
    return this.copy.stampOf('charter')
  }

  get network(): Network | undefined {
    return this.#configuration?.network
  }

  get texts(): readonly z.infer<typeof Text>[] {
    return this.#texts
  }

  /** The whole charter at a stamp: kept where it was sent whole, else made again from the last one that was. */
  whole(stamp: number): string | undefined {
    const at = this.#texts.findIndex((one) => one.stamp === stamp)
    const wanted = this.#texts[at]
    if (wanted === undefined || wanted.whole !== '') return wanted?.whole
    let from = at
    while (from > 0 && this.#texts[from]?.whole === '') from -= 1
    let tree = Tree.read(this.#texts[from]?.whole ?? '')
    for (const one of this.#texts.slice(from + 1, at + 1))
      tree = ReplicatedState.#carryOut(tree, one.action, one.branch, Tree.read(one.text) ?? null)
    return `${JSON.stringify(tree, null, 2)}\n`
  }

  static #carryOut(base: Tree | undefined, action: string, branch: string, sent: Tree): Tree {
    const path = branch === '' ? [] : branch.split('.')
    return action === 'patch' ? Tree.replace(base, path, Tree.merge(Tree.at(base, path), sent)) : Tree.replace(base, path, sent)
  }

  /** Texts are kept for as long as they are few or small; the oldest kept one is always whole. */
  #keep(text: z.infer<typeof Text>): void {
    this.#texts.push(text)
    this.#textBytes += text.text.length + text.whole.length
    while (this.#texts.length > keptTexts.most || (this.#textBytes > keptTexts.bytes && this.#texts.length > keptTexts.least)) {
      const next = this.#texts[1]
      if (next?.whole === '') {
        next.whole = this.whole(next.stamp) ?? ''
        this.#textBytes += next.whole.length
      }
      const oldest = this.#texts.shift()
      this.#textBytes -= (oldest?.text.length ?? 0) + (oldest?.whole.length ?? 0)
    }
  }

  /** How an operation ended that its caller named. */
  outcome(operation: string): Outcome | undefined {
    return this.#outcomes.get(operation)
  }

  /** How an operation ended that made a revision of the network. */
  networkTaken(operation: string): Outcome | undefined {
    return this.#networkOutcomes.taken(operation)
  }

  /**
   * The current revision of the network, where a write on top of a lower one was not taken and never can be: revisions only rise, and
   * the operation that was taken on top of that one is known. Undefined where only the log can judge the write.
   */
  supersededBy(ifMatch: number, operation: string): number | undefined {
    const current = this.#configuration?.revision ?? 0
    if (ifMatch < 0 || ifMatch >= current || !this.#networkOutcomes.knowsSuccessor(ifMatch)) return undefined
    return this.networkTaken(operation) === undefined ? current : undefined
  }

  duty(duty: string): (DutyRow & { epoch: number }) | undefined {
    const value = this.copy.get(`duty/${duty}`)
    if (value === undefined) return undefined
    return { ...DutyRow.parse(JSON.parse(value)), epoch: this.copy.stampOf(`duty/${duty}`) }
  }

  /** Applies one command of the log; gives what a write of the network or a zone says to its request. */
  apply(index: number, bytes: Uint8Array): Settlement | undefined {
    const command = Command.decode(bytes)
    if (command === undefined) throw new Error(`log entry ${String(index)} is no command this program knows`)
    switch (command.kind) {
      case 'charter': {
        if (this.#outcomes.get(command.operation) !== undefined) break
        this.#outcomes.settle(command.operation, this.#applyCharter(index, command))
        break
      }
      case 'platform':
        this.#applyPlatform(index, command.servers)
        break
      case 'seat': {
        if (command.retired && this.copy.get(`seat/${command.name}`) === undefined) {
          this.#outcomes.settle(command.operation, { status: 404, stamp: 0, errors: [`seat ${command.name}: not known`] })
          break
        }
        this.copy.set({
          key: `seat/${command.name}`,
          stamp: index,
          gone: command.retired,
          value: JSON.stringify({ role: command.role, zone: command.zone, retired: command.retired }),
        })
        if (command.operation !== '') this.#outcomes.settle(command.operation, { status: 200, stamp: index, errors: [] })
        break
      }
      case 'duty': {
        const key = `duty/${command.duty}`
        if (this.copy.get(key) !== undefined || this.copy.stampOf(key) !== command.vacancy) break
        this.copy.set({
          key,
          stamp: index,
          gone: false,
          value: JSON.stringify({ holder: command.holder, address: command.address, vacancy: command.vacancy }),
        })
        break
      }
      case 'vacate': {
        if (this.duty(command.duty)?.epoch === command.epoch)
          this.copy.set({ key: `duty/${command.duty}`, stamp: index, gone: true, value: '' })
        break
      }
      case 'found': {
        if (command.again || this.copy.get('system') === undefined)
          this.copy.set({ key: 'system', stamp: index, gone: false, value: command.system })
        break
      }
      case 'network':
        return { request: command.request, outcome: this.#settleNetwork(index, command) }
      case 'zone':
        return { request: command.request, outcome: this.#zoneOrders.apply(index, command, this.copy) }
      case 'dispatch': {
        if (this.duty('dispatcher')?.epoch !== command.epoch) break
        for (const row of command.rows) this.copy.set({ ...row, stamp: index })
        break
      }
    }
    return undefined
  }

  #applyCharter(index: number, command: Extract<Command, { kind: 'charter' }>): Outcome {
    const stamp = this.charterStamp
    if (command.ifMatch >= 0 && command.ifMatch !== stamp)
      return { status: 412, stamp, errors: [`the charter is at stamp ${String(stamp)}, not ${String(command.ifMatch)}`] }
    const old = this.copy.get('charter')
    const base = old === undefined ? undefined : Tree.read(old)
    let text = command.text
    if (command.action === 'rollback') {
      const earlier = this.#texts.find((one) => one.stamp === Number(command.text))
      if (earlier === undefined) return { status: 404, stamp, errors: [`stamp ${command.text} is not kept`] }
      text = this.whole(earlier.stamp) ?? ''
    }
    const sent = Tree.read(text)
    if (sent === undefined) return { status: 422, stamp, errors: ['charter: not JSON'] }
    const tree = ReplicatedState.#carryOut(base, command.action, command.branch, sent)
    return Charter.check(tree).caseOf<Outcome>({
      Left: (errors) => ({ status: 422, stamp, errors }),
      Right: () => {
        this.copy.set({ key: 'charter', stamp: index, gone: false, value: JSON.stringify(tree) })
        const whole = command.action !== 'patch' && command.branch === '' ? text : ''
        this.#keep({
          stamp: index,
          action: command.action,
          branch: command.branch,
          operation: command.operation,
          text: command.text,
          whole,
        })
        return { status: 200, stamp: index, errors: [] }
      },
    })
  }

  /** A repeat of what was taken has its first outcome, a delayed copy of what was refused does nothing. */
  #settleNetwork(index: number, command: Extract<Command, { kind: 'network' }>): Outcome {
    const outcomes = this.#networkOutcomes
    const { operation, basis, ifMatch, action } = command
    const taken = outcomes.taken(operation)
    if (taken !== undefined) return taken
    const stamp = this.copy.stampOf('network')
    if (outcomes.outdated(operation, basis)) return noJudgement(stamp, 'the same content was refused meanwhile')
    const outcome = this.#applyNetwork(index, command)
    const current = this.#configuration?.revision ?? 0
    if (outcome.status === 200) {
      outcomes.take(operation, index, current)
      return outcome
    }
    const sent = Network.revisionOf(Tree.read(command.text))
    if (sent !== undefined && outcomes.mayHaveTaken(sent)) return noJudgement(stamp, 'it may have been taken long ago')
    const overturnable = ifMatch > current || (ifMatch === unguarded && action === 'patch')
    if (overturnable && !outcomes.noteRefusal(operation, index, ifMatch)) return noJudgement(stamp, 'too many refusals are open')
    return outcome
  }

  #applyNetwork(index: number, command: Extract<Command, { kind: 'network' }>): Outcome {
    const stamp = this.copy.stampOf('network')
    const base = this.#configuration
    const current = base?.revision ?? 0
    if (command.ifMatch >= 0 && command.ifMatch !== current)
      return { status: 412, stamp, errors: [`the network is at revision ${String(current)}, not ${String(command.ifMatch)}`] }
    const sent = Tree.read(command.text)
    if (sent === undefined) return { status: 422, stamp, errors: ['network: not JSON'] }
    if (command.action === 'patch' && base === undefined) return { status: 422, stamp, errors: ['network: there is none to change yet'] }
    const made = command.action === 'patch' && base !== undefined ? this.#patch(index, base, sent) : this.#put(index, sent, current)
    return made.caseOf<Outcome>({
      Left: (errors) => ({ status: 422, stamp, errors }),
      Right: ({ head }) => {
        this.copy.set({ key: 'network', stamp: index, gone: false, value: JSON.stringify(head) })
        return { status: 200, stamp: index, errors: [] }
      },
    })
  }

  #patch(index: number, base: Configuration, sent: Tree): Either<string[], Configuration> {
    return base.patch(sent).map(({ routes, services }) => {
      this.#setRows(index, 'route/', routes.set)
      this.#dropRows(index, 'route/', routes.dropped)
      retireModels(this.copy, index, services.replaced, services.set)
      this.#setRows(index, 'service/', services.set)
      this.#dropRows(index, 'service/', services.dropped)
      return base
    })
  }

  #put(index: number, sent: Tree, current: number): Either<string[], Configuration> {
    return Network.check(sent, current).map((network) => {
      retireModels(this.copy, index, this.#configuration?.network.services ?? [], network.services)
      this.#configuration = new Configuration(network)
      this.#derive(index, 'route/', network.routes)
      this.#derive(index, 'service/', network.services)
      return this.#configuration
    })
  }

  /** Sets the rows of named items that changed, and takes away those that are no more. */
  #derive(index: number, prefix: string, items: readonly { name: string }[]): void {
    const wanted = new Set(items.map((item) => item.name))
    this.#setRows(index, prefix, items)
    const gone = this.copy.under(prefix).filter(([name]) => !wanted.has(name))
    this.#dropRows(
      index,
      prefix,
      gone.map(([name]) => name),
    )
  }

  #setRows(index: number, prefix: string, items: readonly { name: string }[]): void {
    for (const item of items) {
      const key = prefix + item.name
      const value = JSON.stringify(item)
      if (this.copy.get(key) !== value) this.copy.set({ key, stamp: index, gone: false, value })
    }
  }

  #dropRows(index: number, prefix: string, names: readonly string[]): void {
    for (const name of names) this.copy.set({ key: prefix + name, stamp: index, gone: true, value: '' })
  }

  #applyPlatform(index: number, servers: string): void {
    const listed = new Map(
      z
        .array(PlatformServer)
        .parse(JSON.parse(servers))
        .map((server) => [server.name, JSON.stringify(server)]),
    )
    for (const [name, value] of listed) {
      if (this.copy.get(`server/${name}`) !== value) this.copy.set({ key: `server/${name}`, stamp: index, gone: false, value })
    }
    for (const [name] of this.copy.under('server/')) {
      if (!listed.has(name)) this.copy.set({ key: `server/${name}`, stamp: index, gone: true, value: '' })
    }
  }
}
