/**
 * A 53-bit digest of bytes or text, for comparing copies and for spreading keys. Not for secrets.
 */

export function digest(text: string, seed = 0): number {
  let a = 0xdeadbeef ^ seed
  let b = 0x41c6ce57 ^ seed
  for (let at = 0; at < text.length; at++) {
    const code = text.charCodeAt(at)
    a = Math.imul(a ^ code, 2654435761)
    b = Math.imul(b ^ code, 1597334677)
  }
  a = Math.imul(a ^ (a >>> 16), 2246822507) ^ Math.imul(b ^ (b >>> 13), 3266489909)
  b = Math.imul(b ^ (b >>> 16), 2246822507) ^ Math.imul(a ^ (a >>> 13), 3266489909)
  return 4294967296 * (2097151 & b) + (a >>> 0)
}
