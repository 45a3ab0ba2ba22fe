/**
 * The leaves in which two trees differ, one line each: `-` only in the first, `+` only in the second,
 * `~` changed.
 */
import { Tree } from '../common/Tree.js'

export function diffLeaves(before: Tree, after: Tree): string[] {
  const old = new Map(Tree.leaves(before).map(([path, value]) => [path, JSON.stringify(value)]))
  const fresh = new Map(Tree.leaves(after).map(([path, value]) => [path, JSON.stringify(value)]))
  const lines: string[] = []
  for (const path of [...new Set([...old.keys(), ...fresh.keys()])].sort()) {
    const one = old.get(path)
    const other = fresh.get(path)
    if (one === other) continue
    if (other === undefined) lines.push(`- ${path} ${one ?? ''}`)
    else if (one === undefined) lines.push(`+ ${path} ${other}`)
    else lines.push(`~ ${path} ${one} -> ${other}`)
  }
  return lines
}
