/**
 * The line through measured points by least squares, over the size or over its square, whichever misses
 * less. `missRatio` is the greatest miss against the greatest figure, and `exponent` how the figure grew
 * between the two largest sizes: 0 not at all, 1 with its cause, 2 with the square.
 */
interface Fit {
  power: 1 | 2
  slope: number
  intercept: number
  missRatio: number
  exponent: number
}
interface Point {
  size: number
  figure: number
}

function line(points: readonly Point[], power: 1 | 2): Omit<Fit, 'exponent'> {
  const at = points.map((one) => ({ x: one.size ** power, y: one.figure }))
  const meanX = at.reduce((sum, one) => sum + one.x, 0) / at.length
  const meanY = at.reduce((sum, one) => sum + one.y, 0) / at.length
  const spread = at.reduce((sum, one) => sum + (one.x - meanX) ** 2, 0)
  const slope = spread === 0 ? 0 : at.reduce((sum, one) => sum + (one.x - meanX) * (one.y - meanY), 0) / spread
  const intercept = meanY - slope * meanX
  const most = Math.max(...at.map((one) => Math.abs(one.y)))
  const miss = Math.max(...at.map((one) => Math.abs(one.y - intercept - slope * one.x)))
  return { power, slope, intercept, missRatio: most === 0 ? 0 : miss / most }
}

export function fit(points: readonly Point[]): Fit {
  const straight = line(points, 1)
  const square = line(points, 2)
  const [last, before] = [...points].sort((a, b) => b.size - a.size)
  const grew = last === undefined || before === undefined || before.figure <= 0 || last.figure <= 0
  const exponent = grew ? 0 : Math.log(last.figure / before.figure) / Math.log(last.size / before.size)
  return { ...(square.missRatio < 0.5 * straight.missRatio ? square : straight), exponent }
}
