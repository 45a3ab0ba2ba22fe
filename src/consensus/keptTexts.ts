/**
 * How many texts of the charter the register keeps: at least, at the most, and by their bytes between.
 */
export const keptTexts = { least: 64, most: 4096, bytes: 24_000_000 }
