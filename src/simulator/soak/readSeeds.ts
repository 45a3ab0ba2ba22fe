/**
 * Seeds as they are written on the command line: `7`, `1..20`, or several of these with commas between.
 */
const mostSeeds = 10_000

export function readSeeds(text: string): number[] | undefined {
  const seeds: number[] = []
  for (const part of text.split(',')) {
    const found = /^(\d+)(?:\.\.(\d+))?$/.exec(part.trim())
    if (found === null) return undefined
    const [from, to] = [Number(found[1]), Number(found[2] ?? found[1])]
    if (to < from || to - from >= mostSeeds) return undefined
    for (let seed = from; seed <= to; seed++) seeds.push(seed)
  }
  return seeds
}
