/**
 * A daemon's figures in Prometheus' text form, through its library: counters that tasks raise, spans of
 * time that they measure, and gauges that are read when they are asked for.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'

const spanBuckets = [1, 3, 10, 30, 100, 300, 1000, 3000, 10_000]

export class Meters {
  readonly #registry = new Registry()

  constructor(program: string, name: string) {
    this.#registry.setDefaultLabels({ program, name })
    collectDefaultMetrics({ register: this.#registry })
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

  /** Several gauges of one reading, each by its name. */
  gauges(helps: Record<string, string>, read: () => Record<string, number>): void {
    for (const [name, help] of Object.entries(helps)) {
      new Gauge({
        name: `springpaddle_${name}`,
        help,
        registers: [this.#registry],
        collect() {
          this.set(read()[name] ?? 0)
        },
      })
    }
  }
}
