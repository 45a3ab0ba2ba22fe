/**
 * Faults that take a disk. A core that lost two disks of three at once stops rather than forgets,
 * so a storm takes one disk at the most.
 */
export const diskTakers = ['lose-disk', 'swap-seeds']
