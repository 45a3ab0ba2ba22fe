/**
 * Elections beside a leader that a member has just heard: refused without taking over their term, but for one
 * that the leader asked for.
 */
import { deepStrictEqual, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { Bounds } from '../common/Bounds.js'
import { Random } from '../common/Random.js'
import { Timings } from '../common/Timings.js'
import type { Message } from '../transport/Message.js'
import { DiskRecord } from './DiskRecord.js'
import { Raft } from './Raft.js'

type VoteRequest = Extract<Message, { kind: 'requestVote' }>
const timings = Timings(Bounds.parse({}))
const disk = [
  DiskRecord.encode({ kind: 'identity', identity: 'follower', system: '' }),
  DiskRecord.encode({ kind: 'term', term: 2, ballot: 'leader' }),
]
const request: VoteRequest = {
  kind: 'requestVote',
  to: 'follower',
  from: 'candidate',
  term: 3,
  lastIndex: 5,
  lastTerm: 2,
  pre: false,
}

/** The answers to a request for votes, at once or once synced. */
function asked(raft: Raft, message: VoteRequest, nowMs: number): boolean[] {
  raft.receive(message, nowMs)
  const out = raft.take()
  const sends = [...out.sends, ...out.writes.flatMap((write) => write.then)]
  return sends.flatMap((send) => (send.message.kind === 'voteReply' ? [send.message.given] : []))
}

function follower(startMs: number): Raft {
  const raft = new Raft('seat', timings, new Random(1), disk, startMs)
  raft.take()
  return raft
}

void test('a member that heard its leader lately grants no vote and stays in its term', () => {
  const raft = follower(0)
  const heardMs = 2 * timings.electionMs
  raft.receive(
    { kind: 'appendEntries', to: 'follower', from: 'leader', term: 2, prevIndex: 0, prevTerm: 0, commit: 0, round: 1, entries: [] },
    heardMs,
  )
  raft.take()
  deepStrictEqual(asked(raft, request, heardMs + timings.electionMs - 1), [false])
  strictEqual(raft.term, 2)
  deepStrictEqual(asked(raft, request, heardMs + timings.electionMs), [true])
  strictEqual(raft.term, 3)
})

void test('a member that restarted lately grants none either', () => {
  deepStrictEqual(asked(follower(0), request, timings.electionMs - 1), [false])
  deepStrictEqual(asked(follower(0), request, timings.electionMs), [true])
})

void test('an election that the leader asked for is granted at once', () => {
  deepStrictEqual(asked(follower(0), { ...request, transfer: true }, 1), [true])
})
