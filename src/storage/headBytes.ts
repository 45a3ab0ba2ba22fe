/**
 * The bytes before each record in a file: its length and its checksum.
 */
export const headBytes = 8
