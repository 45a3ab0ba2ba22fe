/**
 * Decides the next change of the replicated log's members, one at a time, as the leader sees them. Newcomers
 * join as learners. A voter that is lost, is leaving or came back with an empty disk is removed before the
 * learner that stands in for it gets its vote: an even group would need one more live member for its
 * majority, and would be stuck for good if the newcomer were lost too. Without a learner that has caught up, no
 * voter is removed from a group of the target size or below it. A group below its size takes a stand-in before it
 * loses another voter, so that its majority is always more disks than may be lost at once.
 *
 * Single-server changes as in Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 4.1 to 4.3, with
 * the leader's empty entry committed first.
 */
import type { Member } from './Member.js'
import type { MemberHealth } from './MemberHealth.js'
import type { MembershipChange } from './MembershipChange.js'
import type { MembershipLimits } from './MembershipLimits.js'

export function planMembership(
  members: readonly Member[],
  candidates: readonly Member[],
  leader: string,
  health: MemberHealth,
  limits: MembershipLimits,
): MembershipChange | undefined {
  const voters = members.filter((one) => one.voter)
  const learners = members.filter((one) => !one.voter)
  const silent = (one: Member, spanMs: number) => health.silentMs(one.identity) > spanMs
  const ready = learners.filter((one) => !silent(one, limits.doubtfulMs) && !health.leaving(one.identity) && health.caughtUp(one.identity))
  const without = (gone: Member): Member[] => members.filter((one) => one !== gone)

  /** True when the other voters alone have a majority that was heard just now. */
  const bearable = (gone: Member): boolean => {
    const rest = voters.filter((one) => one !== gone)
    return rest.filter((one) => !silent(one, limits.doubtfulMs)).length * 2 > rest.length
  }
  const removal = (gone: Member, why: string): MembershipChange => ({
    reason: `Removes ${gone.seat}, which ${why}.`,
    members: without(gone),
  })

  const goneLearner = learners.find((one) => silent(one, limits.goneMs) || health.leaving(one.identity))
  if (goneLearner !== undefined) return removal(goneLearner, 'is gone as a learner')

  const heard = voters.filter((one) => !silent(one, limits.doubtfulMs))
  const allHeard = heard.length === voters.length
  const short = voters.length < limits.targetVoters
  /** True when those that were heard just now are a majority of the group with one voter more, also without that one. */
  const bearsNewcomer = allHeard || heard.length * 2 > voters.length + 1
  const promoted = ready.find((one) => !voters.some((voter) => voter.seat === one.seat)) ?? ready[0]
  const promotion = (one: Member): MembershipChange => ({
    reason: `Gives ${one.seat} its vote.`,
    members: members.map((member) => (member === one ? { ...member, voter: true } : member)),
  })
  if (promoted !== undefined && short && bearsNewcomer && voters.length < limits.maxVoters) return promotion(promoted)

  const wiped = voters.find((one) => ready.some((learner) => learner.seat === one.seat) && silent(one, limits.doubtfulMs))
  if (wiped !== undefined && bearable(wiped)) return removal(wiped, 'came back under another identity')

  const spare = voters.length > limits.targetVoters
  if (ready.length > 0 || spare) {
    const lost = voters.find((one) => silent(one, limits.lostMs) && bearable(one))
    if (lost !== undefined) return removal(lost, 'fell silent')
    const leaving = voters.find((one) => one.identity !== leader && health.leaving(one.identity) && bearable(one))
    if (leaving !== undefined) return removal(leaving, 'is leaving')
  }

  const evenOut = voters.length % 2 === 0 || ready.length > 1
  if (promoted !== undefined && allHeard && voters.length < limits.maxVoters && evenOut) return promotion(promoted)

  for (const candidate of candidates) {
    if (members.some((one) => one.identity === candidate.identity)) continue
    const earlier = members.find((one) => one.seat === candidate.seat)
    if (earlier !== undefined && !silent(earlier, limits.doubtfulMs)) continue
    return { reason: `Takes ${candidate.seat} in as a learner.`, members: [...members, { ...candidate, voter: false }] }
  }
  return undefined
}
