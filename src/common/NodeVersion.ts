/**
 * The oldest Node.js that the programs run on, the same as in package.json, and the sentence for a start on an older one.
 */
const oldest = '20.18.1'
const parts = (version: string) => version.split('.').map((part) => Number.parseInt(part, 10))

export const NodeVersion = {
  oldest,

  /** Why a version of Node.js will not do, or nothing when it will. */
  unfit(version: string): string | undefined {
    const found = parts(version)
    for (const [at, needed] of parts(oldest).entries()) {
      const part = found[at] ?? 0
      if (part > needed) return undefined
      if (part < needed) return `Node.js ${oldest} or later is needed, this is ${version}`
    }
    return undefined
  },
}
