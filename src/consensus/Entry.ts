/**
 * One entry of the agreed log.
 */
export interface Entry {
  index: number
  term: number
  type: 'noop' | 'members' | 'command'
  bytes: Uint8Array
}
