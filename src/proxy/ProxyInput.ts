/**
 * What a proxy's machine is told. `defect` says what is known of the attempt that ended.
 */
import type { Verdict } from '../common/Verdict.js'
import type { Message } from '../transport/Message.js'

export type ProxyInput =
  | { kind: 'tick' }
  | { kind: 'message'; from: string; fromAddress: string; message: Message }
  | {
      kind: 'arrived'
      id: string
      target: { kind: 'model'; name: string; adapter: string; chain: string[] } | { kind: 'service'; name: string }
      bytes: number
      dueInMs: number | undefined
    }
  | { kind: 'identified'; id: string; attempt: number; server: string; incarnation: string; upMs: number }
  | { kind: 'sent'; id: string; attempt: number }
  | { kind: 'head'; id: string; attempt: number; notRun: boolean }
  | { kind: 'ended'; id: string; attempt: number }
  | { kind: 'defect'; id: string; attempt: number; verdict: Verdict; why: string }
  | { kind: 'callerGone'; id: string }
