/**
 * Has V8 collect what large inputs leave behind. V8 lets memory outside its heap grow by 64 MB before it looks at it, which is much of
 * a small process; what came and was passed on is therefore counted here, and collected after a part of the process's memory.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

type Extent = 'minor' | 'major'
const bytesPerMb = 1_000_000
/** A collection of the young objects follows after this part of the memory came in, one of all after this part was given back. */
const arrivedRatio = 1 / 64
const releasedRatio = 1 / 16
let loaded: ((extent: Extent) => void) | undefined

function collectWithV8(extent: Extent): void {
  loaded ??= load()
  loaded(extent)
}

function load(): (extent: Extent) => void {
  setFlagsFromString('--expose-gc')
  const collect: unknown = runInNewContext('gc')
  return (extent) => {
    if (typeof collect === 'function') Reflect.apply(collect, undefined, [{ type: extent, execution: 'sync' }])
  }
}

export class GarbagePacer {
  readonly #memoryBytes: number
  readonly #collect: (extent: Extent) => void
  #arrivedBytes = 0
  #releasedBytes = 0

  /** `memoryMb` is what the process may take, in megabytes. */
  constructor(memoryMb: number, collect: (extent: Extent) => void = collectWithV8) {
    this.#memoryBytes = memoryMb * bytesPerMb
    this.#collect = collect
  }

  /** Counts bytes that came in and are copied or dropped. */
  arrived(bytes: number): void {
    this.#arrivedBytes += bytes
    if (this.#arrivedBytes < arrivedRatio * this.#memoryBytes) return
    this.#arrivedBytes = 0
    this.#collect('minor')
  }

  /** Counts bytes that were gathered and are no longer needed. */
  released(bytes: number): void {
    this.#releasedBytes += bytes
    if (this.#releasedBytes < releasedRatio * this.#memoryBytes) return
    this.#releasedBytes = 0
    this.#arrivedBytes = 0
    this.#collect('major')
  }
}
