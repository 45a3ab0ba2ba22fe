/**
 * Everything that one of the system's own processes says to another. New fields go to the end of a
 * message and are optional; new messages go to the end of the list.
 */
import { z } from 'zod'
import { Bytes } from './Bytes.js'
import { Role } from '../common/Role.js'

const kind = <K extends string, S extends z.ZodRawShape>(name: K, shape: S) => z.object({ kind: z.literal(name), ...shape })
const Peer = z.object({ name: z.string(), address: z.string(), role: Role, zone: z.string() })
const Entry = z.object({ index: z.number(), term: z.number(), type: z.enum(['noop', 'members', 'command']), bytes: Bytes })
const Row = z.object({ key: z.string(), stamp: z.number(), gone: z.boolean(), value: z.string() })
const Ask = z.object({ key: z.string(), want: z.number(), held: z.number() })
const Again = z.object({ id: z.string(), key: z.string() })
const Count = z.object({ key: z.string(), count: z.number() })

const options = [
  // Finding one another.
  kind('probe', { nonce: z.number(), role: Role, zone: z.string(), identity: z.string(), known: z.array(Peer), system: z.string() }),
  kind('probeReply', {
    nonce: z.number(),
    role: Role,
    zone: z.string(),
    identity: z.string(),
    empty: z.boolean(),
    leader: z.string(),
    known: z.array(Peer),
    system: z.string(),
  }),
  // Agreement among the core.
  kind('requestVote', {
    to: z.string(),
    from: z.string(),
    term: z.number(),
    lastIndex: z.number(),
    lastTerm: z.number(),
    pre: z.boolean(),
    /** The leader asked for this election: it goes before the trust in that leader. */
    transfer: z.boolean().optional(),
  }),
  kind('voteReply', { to: z.string(), from: z.string(), term: z.number(), given: z.boolean(), pre: z.boolean() }),
  kind('appendEntries', {
    to: z.string(),
    from: z.string(),
    term: z.number(),
    prevIndex: z.number(),
    prevTerm: z.number(),
    commit: z.number(),
    round: z.number(),
    entries: z.array(Entry),
  }),
  kind('appendReply', { to: z.string(), from: z.string(), term: z.number(), ok: z.boolean(), match: z.number(), round: z.number() }),
  kind('installSnapshot', {
    to: z.string(),
    from: z.string(),
    term: z.number(),
    index: z.number(),
    lastTerm: z.number(),
    round: z.number(),
    members: z.string(),
    /** One chunk of the state, from an offset on. */
    state: Bytes,
    offset: z.number(),
    totalBytes: z.number(),
  }),
  kind('propose', { id: z.string(), command: Bytes }),
  // Leases.
  kind('renew', {
    seat: z.string(),
    role: Role,
    zone: z.string(),
    session: z.string(),
    sentMs: z.number(),
    adopted: z.number(),
    asks: z.array(Ask),
    echo: z.number(),
    again: z.array(Again),
    firsts: z.array(Count),
    peersSum: z.number(),
    /** Term and time, by the leader's clock, of the newest lease that this session got a moment ago. */
    leaseTerm: z.number().optional(),
    leaseGrantedMs: z.number().optional(),
  }),
  kind('lease', {
    sentMs: z.number(),
    forMs: z.number(),
    stamp: z.number(),
    peers: z.array(Peer),
    serial: z.number(),
    shares: z.array(Count),
    again: z.array(z.string()),
    platformAgeMs: z.number(),
    system: z.string(),
    peersSum: z.number(),
    /** Requests that all gateways together have at each server. */
    loads: z.array(Count).optional(),
    /** The session whose renewal this answers; another one takes nothing from it. */
    session: z.string().optional(),
    /** The leader's term, and its time when it granted this. */
    term: z.number().optional(),
    grantedMs: z.number().optional(),
  }),
  // Duties.
  kind('stand', { duty: z.string(), vacancy: z.number(), round: z.number() }),
  kind('ballot', { duty: z.string(), vacancy: z.number(), round: z.number(), given: z.boolean() }),
  kind('dutyRenew', { duty: z.string(), epoch: z.number(), sentMs: z.number() }),
  kind('dutyLease', { duty: z.string(), epoch: z.number(), sentMs: z.number() }),
  // News and repair.
  kind('follow', { seat: z.string(), stamp: z.number(), sentMs: z.number(), digests: z.array(z.number()) }),
  kind('news', { stamp: z.number(), since: z.number(), rows: z.array(Row) }),
  kind('mend', { stamp: z.number(), range: z.number(), rows: z.array(Row) }),
  kind('permit', {
    sentMs: z.number(),
    forMs: z.number(),
    lentMs: z.number(),
    serial: z.number(),
    shares: z.array(Count),
    again: z.array(z.string()),
    barred: z.array(z.string()),
  }),
  kind('peerAsk', { sentMs: z.number(), stamp: z.number() }),
  kind('peerTell', { sentMs: z.number(), stamp: z.number() }),
  // What the data plane sees.
  kind('tally', {
    seat: z.string(),
    session: z.string(),
    adopted: z.number(),
    atMs: z.number(),
    arrivals: z.array(z.object({ model: z.string(), adapter: z.string(), count: z.number(), agoMs: z.number() })),
    held: z.array(z.object({ model: z.string(), adapter: z.string(), count: z.number(), dueInMs: z.number() })),
    flights: z.array(z.object({ server: z.string(), model: z.string(), adapter: z.string(), count: z.number() })),
  }),
  // Operators.
  kind('operate', {
    id: z.string(),
    action: z.string(),
    branch: z.string(),
    text: z.string(),
    ifMatch: z.number(),
    operation: z.string(),
    waitMs: z.number(),
    leaderMs: z.number(),
    basis: z.number(),
  }),
  kind('operated', { id: z.string(), status: z.number(), stamp: z.number(), text: z.string() }),
  // Shares of limits, and what waiting requests may expect.
  kind('ask', { asks: z.array(Ask), echo: z.number(), again: z.array(Again), firsts: z.array(Count) }),
  kind('outlook', {
    models: z.array(
      z.object({
        model: z.string(),
        adapter: z.string(),
        readyInMs: z.number(),
        neverBeforeMs: z.number(),
        /** A server is loading it now. */
        loading: z.boolean().optional(),
      }),
    ),
  }),
  // Snapshots in chunks, and members that go.
  kind('snapshotReply', {
    to: z.string(),
    from: z.string(),
    term: z.number(),
    round: z.number(),
    index: z.number(),
    receivedBytes: z.number(),
  }),
  kind('timeoutNow', { to: z.string(), from: z.string(), term: z.number() }),
  kind('leaving', { identity: z.string() }),
  kind('leavingReply', { identity: z.string(), released: z.boolean() }),
] as const

export const Message = { schema: z.discriminatedUnion('kind', options), options }
export type Message = z.infer<(typeof options)[number]>
