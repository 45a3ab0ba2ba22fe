/**
 * A daemon's figures in Prometheus' text form, through its library: counters that tasks raise, spans of
 * time that they measure, and counters and gauges that are read when they are asked for.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'

/**
 * `observed` watches the event loop and the garbage collector all the time, which wakes an idle process about
 * a hundred times a second; `read` gives only what costs nothing until it is asked for.
 */
type Runtime = 'observed' | 'read'
/** One value of a metric, with the values of its labels. */
interface Sample {
  labels: Record<string, string>
  value: number
}
const spanBuckets = [1, 3, 10, 30, 100, 300, 1000, 3000, 10_000]

export class Meters {
  readonly #registry = new Registry()

  constructor(program: string, name: string, runtime: Runtime = 'observed') {
    this.#registry.setDefaultLabels({ program, name })
    if (runtime === 'observed') collectDefaultMetrics({ register: this.#registry })
    else this.#readRuntime()
  }

  get contentType(): string {
    return this.#registry.contentType
  }

  text(): Promise<string> {
    return this.#registry.metrics()
  }

  counter(name: string, help: string, labels: readonly string[]): (values: Record<string, string>) => void {
    const counter = new Counter({ name: `springpaddle_${name}`, help, labelNames: labels, registers: [this.#registry] })
    return (values) => {
      counter.inc(values)
    }
  }

  span(name: string, help: string): (spanMs: number) => void {
    const histogram = new Histogram({ name: `springpaddle_${name}_ms`, help, buckets: spanBuckets, registers: [this.#registry] })
    return (spanMs) => {
      histogram.observe(spanMs)
    }
  }

  /** Several gauges of one reading, each by its name; one that the reading doesn't give is left out of the text. */
  gauges(helps: Readonly<Record<string, string>>, read: () => Readonly<Record<string, number>>): void {
    const gauges = new Map<string, Gauge>()
    const collect = () => {
      const values = read()
      for (const [name, gauge] of gauges) {
        const value = values[name]
        if (value === undefined) gauge.remove()
        else gauge.set(value)
      }
    }
    // The library collects in the order of registration, so the first gauge reads for them all.
    for (const [name, help] of Object.entries(helps)) {
      const reads = gauges.size === 0 ? { collect } : {}
      gauges.set(name, new Gauge({ name: `springpaddle_${name}`, help, registers: [this.#registry], ...reads }))
    }
  }

  /** A counter that is kept elsewhere, one value for each set of labels. */
  readCounter(name: string, help: string, labels: readonly string[], read: () => Iterable<Sample>): void {
    new Counter({
      name: `springpaddle_${name}`,
      help,
      labelNames: labels,
      registers: [this.#registry],
      collect() {
        this.reset()
        for (const sample of read()) this.inc(sample.labels, sample.value)
      },
    })
  }

  /** A gauge with labels, one value for each set of them. */
  readGauge(name: string, help: string, labels: readonly string[], read: () => Iterable<Sample>): void {
    new Gauge({
      name: `springpaddle_${name}`,
      help,
      labelNames: labels,
      registers: [this.#registry],
      collect() {
        this.reset()
        for (const sample of read()) this.set(sample.labels, sample.value)
      },
    })
  }

  /** The process's processor time and memory, under the names that the library gives them. */
  #readRuntime(): void {
    const registers = [this.#registry]
    new Counter({
      name: 'process_cpu_seconds_total',
      help: 'processor time of the process',
      registers,
      collect() {
        const { user, system } = process.cpuUsage()
        this.reset()
        this.inc((user + system) / 1e6)
      },
    })
    new Gauge({
      name: 'process_resident_memory_bytes',
      help: 'memory of the process',
      registers,
      collect() {
        this.set(process.memoryUsage.rss())
      },
    })
    new Gauge({
      name: 'nodejs_heap_size_used_bytes',
      help: 'heap in use',
      registers,
      collect() {
        this.set(process.memoryUsage().heapUsed)
      },
    })
    new Gauge({
      name: 'process_uptime_seconds',
      help: 'time since the start of the process',
      registers,
      collect() {
        this.set(process.uptime())
      },
    })
  }
}
