/**
 * How a process of the product ends, by its exit code; the higher numbers are those of sysexits.h.
 */
export const exitCodes = {
  /** It was asked to stop. */
  stopped: 0,
  /** Its start failed, or an address was not to be had in time. */
  startFailed: 1,
  /** Its settings or its command line are wrong. */
  wrongSettings: 2,
  /** EX_DATAERR: its data folder holds what it can't read. */
  unreadableData: 65,
  /** EX_SOFTWARE: an exception that nobody caught, or a promise that nobody waited for failed. */
  defect: 70,
  /** EX_IOERR: its disk refused a write. */
  storageFailed: 74,
  /** EX_TEMPFAIL: another process holds its data folder. */
  folderHeld: 75,
} as const
