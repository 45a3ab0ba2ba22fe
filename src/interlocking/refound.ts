/**
 * Founds a core again from the one disk that is left of it. The records that come out hold all that the
 * survivor's log adds up to, under a new identity, as the only member, and with a new system identity, so
 * that no machine of the old core can join and no lineman follows unless told. The log's index and term
 * jump far ahead: whatever the old core could still say is older, and its tenures lose at every server.
 */
import { deepStrictEqual, ok, strictEqual } from 'node:assert'
import { z } from 'zod'
import { proof } from '../gauge/proof.js'
import { Command } from './Command.js'
import { Member } from './Member.js'
import { Register } from './Register.js'
import { Sheet } from './Sheet.js'

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
  let register = new Register()
  let members: Member[] = []
  let entries: Extract<Sheet, { kind: 'entry' }>[] = []
  for (const record of disk) {
    const sheet = Sheet.decode(record)
    if (sheet === undefined) return undefined
    if (sheet.kind === 'term') term = sheet.term
    if (sheet.kind === 'view') {
      register = sheet.state.length === 0 ? new Register() : Register.restore(sheet.state)
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
    if (entry.type === 'command') register.apply(entry.index, entry.bytes)
    if (entry.type === 'members') members = Members.parse(JSON.parse(Buffer.from(entry.bytes).toString()))
    index = entry.index
  }
  if (index === 0) return undefined
  const lastIndex = index
  const { charterStamp } = register
  const newIndex = lastIndex + jump.index
  const newTerm = term + jump.term
  register.apply(newIndex - 1, Command.encode({ kind: 'found', system: plan.system, again: true }))
  const duty = register.duty('dispatcher')
  if (duty !== undefined) register.apply(newIndex, Command.encode({ kind: 'vacate', duty: 'dispatcher', tenure: duty.tenure }))
  const identity = `${plan.seat}.${plan.system}`
  const self = [{ identity, seat: plan.seat, address: plan.address, voter: true }]
  const records = [
    Sheet.encode({ kind: 'identity', identity, system: plan.system }),
    Sheet.encode({ kind: 'term', term: newTerm, ballot: '' }),
    Sheet.encode({ kind: 'view', index: newIndex, term: newTerm, members: JSON.stringify(self), state: register.save() }),
  ]
  return {
    records,
    system: plan.system,
    lastIndex,
    charterStamp,
    givenUp: members.filter((one) => one.seat !== plan.seat).map((one) => one.seat),
  }
}

proof(import.meta.url, {
  'all that the survivor has stands, far ahead, under another system; a disk without a core gives nothing': () => {
    const members = ['a', 'b', 'c'].map((seat) => ({
      identity: `${seat}.1`,
      seat,
      address: `127.0.0.1:${String(seat.charCodeAt(0))}`,
      voter: true,
    }))
    const command = (index: number, made: Command) =>
      Sheet.encode({ kind: 'entry', index, term: 3, type: 'command', bytes: Command.encode(made) })
    const disk = [
      Sheet.encode({ kind: 'identity', identity: 'a.1', system: 'first' }),
      Sheet.encode({ kind: 'term', term: 3, ballot: 'a.1' }),
      Sheet.encode({ kind: 'entry', index: 1, term: 1, type: 'members', bytes: Buffer.from(JSON.stringify(members)) }),
      command(2, { kind: 'found', system: 'first', again: false }),
      command(3, { kind: 'duty', duty: 'dispatcher', vacancy: 0, holder: 'b', address: 'b.1' }),
      command(4, { kind: 'seat', name: 'post-1', role: 'lineman', zone: 'a', retired: false, operation: '' }),
    ]
    const again = refound(disk, { seat: 'a', address: '127.0.0.1:1', system: 'second' })
    deepStrictEqual([again?.lastIndex, again?.givenUp], [4, ['b', 'c']])
    const view = again?.records.map((record) => Sheet.decode(record)).find((sheet) => sheet?.kind === 'view')
    if (view?.kind !== 'view') throw new Error('no view')
    const register = Register.restore(view.state)
    strictEqual(register.copy.get('system'), 'second')
    strictEqual(register.copy.get('seat/post-1') !== undefined, true)
    strictEqual(register.duty('dispatcher'), undefined)
    ok(view.index > 1_000_000 && view.term > 1000 && register.copy.stamp > 1_000_000)
    strictEqual(refound(disk.slice(0, 2), { seat: 'a', address: 'x', system: 's' }), undefined)
  },
})
