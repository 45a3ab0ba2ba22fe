/**
 * An order to a model server.
 */
export interface SoakOrder {
  kind: 'load' | 'unload'
  model: string
  adapter: string
  owner: string
  fence: number
  expected: number | undefined
}
