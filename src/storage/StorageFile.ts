/**
 * An open file as the log uses it. Each method is one operation of the system; none is tried again.
 */
export interface StorageFile {
  readAll(): Promise<Buffer>
  /** Writes at the end of the file and gives the number of bytes taken, which may be fewer than given. */
  append(bytes: Uint8Array): Promise<number>
  truncate(length: number): Promise<void>
  /** Makes the content and the length of the file survive a loss of power, but not its name. */
  sync(): Promise<void>
  close(): Promise<void>
}
