/**
 * JSON trees as operators write them: reading, merging a partial write into a whole one, walking the
 * leaves, and cutting out or replacing one branch. A partial write changes only the leaves it names;
 * null takes a leaf or branch away.
 */
import { z } from 'zod'

type Json = string | number | boolean | null | Json[] | { [key: string]: Json }
const Json: z.ZodType<Json> = z.json()

const isBranch = (tree: Json | undefined): tree is { [key: string]: Json } =>
  typeof tree === 'object' && tree !== null && !Array.isArray(tree)

export const Tree = {
  read(text: string): Tree | undefined {
    try {
      return Json.parse(JSON.parse(text))
    } catch {
      return undefined
    }
  },

  merge(base: Tree | undefined, patch: Tree): Tree {
    if (!isBranch(patch)) return patch
    const merged: { [key: string]: Json } = isBranch(base) ? { ...base } : {}
    for (const [key, value] of Object.entries(patch)) {
      if (value === null) delete merged[key]
      else merged[key] = Tree.merge(merged[key], value)
    }
    return merged
  },

  at(tree: Tree | undefined, path: readonly string[]): Tree | undefined {
    let here = tree
    for (const key of path) here = isBranch(here) && Object.hasOwn(here, key) ? here[key] : undefined
    return here
  },

  replace(tree: Tree | undefined, path: readonly string[], branch: Tree): Tree {
    const [key, ...rest] = path
    if (key === undefined) return branch
    const base = isBranch(tree) ? tree : {}
    return { ...base, [key]: Tree.replace(base[key], rest, branch) }
  },

  leaves(tree: Tree, path: string[] = []): [string, Tree][] {
    if (!isBranch(tree) || Object.keys(tree).length === 0) return [[path.join('.'), tree]]
    return Object.entries(tree).flatMap(([key, value]) => Tree.leaves(value, [...path, key]))
  },
}
export type Tree = Json
