/**
 * Founds a core again from the one disk that is left of it. The records that come out hold all that the
 * survivor's log adds up to, under a new identity, as the only member, and with a new system identity, so
 * that no machine of the old core can join and no agent follows unless told. The log's index and term
 * jump far ahead: whatever the old core could still say is older, and its epochs lose at every server.
 */
import { z } from 'zod'
import { Command } from './Command.js'
import { Member } from './Member.js'
import { ReplicatedState } from './ReplicatedState.js'
import { DiskRecord } from './DiskRecord.js'

const jump = { index: 1_000_000, term: 1000 }
const Members = z.array(Member)

interface Refounded {
  records: Uint8Array[]
  system: string
  /** What the survivor's log ends at, and the seats whose disks are given up. */
  lastIndex: number
  charterStamp: number
  givenUp: string[]
}

/** Gives nothing for a disk that holds no core. */
export function refound(disk: readonly Uint8Array[], plan: { seat: string; address: string; system: string }): Refounded | undefined {
  let term = 0
  let index = 0
  let replicatedState = new ReplicatedState()
  let members: Member[] = []
  let entries: Extract<DiskRecord, { kind: 'entry' }>[] = []
  for (const record of disk) {
    const sheet = DiskRecord.decode(record)
    if (sheet === undefined) return undefined
    if (sheet.kind === 'term') term = sheet.term
    if (sheet.kind === 'snapshot') {
      replicatedState = sheet.state.length === 0 ? new ReplicatedState() : ReplicatedState.restore(sheet.state)
      members = Members.parse(JSON.parse(sheet.members))
      index = sheet.index
      entries = []
    }
    if (sheet.kind === 'entry') {
      entries = entries.filter((one) => one.index < sheet.index)
      entries.push(sheet)
    }
  }
  for (const entry of entries) {
    if (entry.type === 'command') replicatedState.apply(entry.index, entry.bytes)
    if (entry.type === 'members') members = Members.parse(JSON.parse(Buffer.from(entry.bytes).toString()))
    index = entry.index
  }
  if (index === 0) return undefined
  const lastIndex = index
  const { charterStamp } = replicatedState
  const newIndex = lastIndex + jump.index
  const newTerm = term + jump.term
  replicatedState.apply(newIndex - 1, Command.encode({ kind: 'found', system: plan.system, again: true }))
  const duty = replicatedState.duty('dispatcher')
  if (duty !== undefined) replicatedState.apply(newIndex, Command.encode({ kind: 'vacate', duty: 'dispatcher', epoch: duty.epoch }))
  const identity = `${plan.seat}.${plan.system}`
  const self = [{ identity, seat: plan.seat, address: plan.address, voter: true }]
  const records = [
    DiskRecord.encode({ kind: 'identity', identity, system: plan.system }),
    DiskRecord.encode({ kind: 'term', term: newTerm, ballot: '' }),
    DiskRecord.encode({ kind: 'snapshot', index: newIndex, term: newTerm, members: JSON.stringify(self), state: replicatedState.save() }),
  ]
  return {
    records,
    system: plan.system,
    lastIndex,
    charterStamp,
    givenUp: members.filter((one) => one.seat !== plan.seat).map((one) => one.seat),
  }
}
