/**
 * What a proxy says of a limit that all proxies share: how much it wants and holds beyond its even part.
 */
export interface ShareAsk {
  key: string
  want: number
  held: number
}
