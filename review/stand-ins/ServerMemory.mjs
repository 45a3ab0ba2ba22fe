/**
 * What one life of a model server holds and how it takes orders, by the pages: one order at a time, `call_sequence` counts those
 * taken, a lower fence than was seen gets 412, unloading waits for the runs of the model, and an order to load beyond
 * `weights_mb` is told by `overMb` and ends the server. Reports tell what it held a moment before.
 */
const reportLagMs = 200

export class ServerMemory {
  /** `sizes`: MB of each model, by name. */
  constructor({ roomMb, sizes, loadMs, held }) {
    Object.assign(this, { roomMb, sizes, loadMs })
    this.models = new Set(held)
    this.sequence = 0
    this.fence = -1
    this.task = undefined
    this.snapshots = []
    this.#changed()
  }

  #changed() {
    this.snapshots.push({ atMs: Date.now(), models: [...this.models], busy: this.task !== undefined, sequence: this.sequence })
  }

  get usedMb() {
    return [...this.models].reduce((sum, name) => sum + this.sizes[name], 0)
  }

  get told() {
    return this.snapshots.findLast((one) => one.atMs <= Date.now() - reportLagMs) ?? this.snapshots[0]
  }

  concerns(model) {
    return this.task?.model === model
  }

  /** Takes an order; `running` gives how many requests run with a model. */
  take({ operation, model, adapter, owner, fence_token: fence, expected_count: expected }, running) {
    if (!['install', 'evict'].includes(operation) || !owner || fence === undefined || adapter !== undefined) return { status: 400 }
    if (fence < this.fence) return { status: 412 }
    this.fence = fence
    if (this.task !== undefined || (expected !== undefined && expected !== this.sequence)) return { status: 409 }
    const there = this.models.has(model)
    if (there === (operation === 'install')) return { status: 200 }
    this.sequence += 1
    const overMb = operation === 'install' ? this.usedMb + this.sizes[model] - this.roomMb : 0
    this.task = { operation, model }
    this.#changed()
    const end = () => {
      if (operation === 'evict' && running(model) > 0) {
        setTimeout(end, 10)
        return
      }
      if (operation === 'install') this.models.add(model)
      else this.models.delete(model)
      this.task = undefined
      this.#changed()
    }
    setTimeout(end, operation === 'install' ? this.loadMs : 30)
    return { status: 202, overMb }
  }
}
