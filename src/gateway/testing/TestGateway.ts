/**
 * A gateway for tests: the task and the callers' desk over real sockets, told of routes and servers as its
 * core would tell it, with nobody else to speak to.
 */
import { clockMs } from '../../common/clockMs.js'
import { Logger } from '../../common/Logger.js'
import { OwnLoopback } from '../../common/testing/OwnLoopback.js'
import type { RouteCodec } from '../../adapters/RouteCodec.js'
import type { Message } from '../../transport/Message.js'
import { CallersDesk } from '../CallersDesk.js'
import { GatewayStartup } from '../GatewayStartup.js'
import { GatewayTask } from '../GatewayTask.js'

type Listener = (from: string, fromAddress: string, message: Message) => void
type Rows = readonly (readonly [key: string, value: object | undefined])[]

const outside = {
  list: () => Promise.resolve(undefined),
  holds: () => Promise.resolve(undefined),
  order: () => Promise.resolve('unknown' as const),
}

export class TestGateway {
  readonly address: string
  readonly task: GatewayTask
  readonly desk: CallersDesk
  readonly #hear: Listener
  #stamp = 0

  private constructor(address: string, task: GatewayTask, desk: CallersDesk, hear: Listener) {
    this.address = address
    this.task = task
    this.desk = desk
    this.#hear = hear
  }

  static async open(wire: RouteCodec, more: object = {}): Promise<TestGateway> {
    const startup = GatewayStartup.parse({
      name: 'j-1',
      zone: 'a',
      transport: OwnLoopback.anyPort,
      callers: OwnLoopback.anyPort,
      seeds: ['127.0.0.1:1'],
      graceMs: 1000,
      leaveMs: 0,
      logLevel: 'silent',
      ...more,
    })
    let hear: Listener = () => undefined
    const transport = {
      address: '127.0.0.1:2',
      cluster: '',
      figures: {},
      send: () => undefined,
      hear: (listener: Listener) => {
        hear = listener
      },
      close: () => Promise.resolve(),
    }
    const task = new GatewayTask(startup, new Logger('gateway', 'j-1', 'silent'), transport, wire, outside)
    const desk = new CallersDesk(startup, task, '/ready')
    return new TestGateway(await desk.open(), task, desk, (...heard) => {
      hear(...heard)
    })
  }

  /** Tells the rows as one change; one without a value is dropped. The first makes the gateway ready. */
  tell(rows: Rows): void {
    const since = this.#stamp
    this.#stamp += 1
    const stamp = this.#stamp
    const told = rows.map(([key, value]) => ({
      key,
      stamp,
      gone: value === undefined,
      value: value === undefined ? '' : JSON.stringify(value),
    }))
    this.#hear('box-1', '127.0.0.1:1', { kind: 'news', stamp, since, rows: told })
    if (since > 0) return
    this.#hear('box-1', '127.0.0.1:1', {
      kind: 'lease',
      sentMs: clockMs(),
      forMs: 60_000,
      stamp,
      peers: [],
      serial: 1,
      shares: [],
      again: [],
      platformAgeMs: 0,
      system: 'x',
      peersSum: 0,
    })
  }

  async stop(): Promise<void> {
    await this.desk.drain()
    await this.task.stop()
  }
}
