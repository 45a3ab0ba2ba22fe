/**
 * What tells a process from every other one, also from one that has its number later: the number,
 * when it began in ticks since the machine did, and the id of that start of the machine. A field that
 * cannot be found out is empty.
 */
interface ProcessIdentity {
  readonly pid: number
  readonly started: string
  readonly boot: string
}

/** The processes of this machine, as far as they can be seen. */
export interface ProcessTable {
  self(): Promise<ProcessIdentity>
  /** Undefined when no such process runs, or none can be seen. */
  find(pid: number): Promise<ProcessIdentity | undefined>
}
