/**
 * The processes of this machine as `/proc` tells of them.
 */
import { readFile } from 'node:fs/promises'
import type { ProcessTable } from './ProcessTable.js'

/** Places in `/proc/PID/stat` after the command's closing bracket, from proc(5). */
const stateField = 0
const startField = 19

async function read(path: string): Promise<string> {
  return readFile(path, 'utf8').catch(() => '')
}

async function bootId(): Promise<string> {
  return (await read('/proc/sys/kernel/random/boot_id')).trim()
}

/** When a process began; empty when it has ended or cannot be seen. */
async function started(pid: number): Promise<string> {
  const stat = await read(`/proc/${String(pid)}/stat`)
  const fields = stat
    .slice(stat.lastIndexOf(')') + 1)
    .trim()
    .split(' ')
  const ended = ['Z', 'X', 'x'].includes(fields[stateField] ?? '')
  return ended ? '' : (fields[startField] ?? '')
}

export const procProcessTable: ProcessTable = {
  async self() {
    return { pid: process.pid, started: await started(process.pid), boot: await bootId() }
  },
  async find(pid) {
    const began = await started(pid)
    return began === '' ? undefined : { pid, started: began, boot: await bootId() }
  },
}
