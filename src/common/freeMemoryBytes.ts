/**
 * What the runtime and the program leave of a process's memory, in bytes.
 */
const bytesPerMb = 1_000_000
/** What a process takes before anybody asks anything of it. */
const runtimeMb = 100
/** A process with less memory than the runtime takes is left this part of it, and goes over. */
const leastRatio = 0.05

/** `memoryMb` is what the process may take, in megabytes. */
export function freeMemoryBytes(memoryMb: number): number {
  return bytesPerMb * Math.max(leastRatio * memoryMb, memoryMb - runtimeMb)
}
