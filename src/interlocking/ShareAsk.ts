/**
 * What a turnout says of a limit that all turnouts share: how much it wants and holds beyond its even part.
 */
export interface ShareAsk {
  key: string
  want: number
  held: number
}
