/**
 * What a gateway's machine is told. `defect` says what is known of the attempt that ended; `status` is a
 * whole answer's, of which nothing has gone to the caller yet. `event` is a part that went to the caller:
 * its id if it is an event that told one, and whether it carried data. `flow` says whether the caller takes
 * what is passed on. `adopted` names the rows of the copy that changed; without them all are read. `stop`
 * tells that the gateway was asked to stop, and `stopEnd` that the time for answers is over.
 */
import type { Verdict } from '../common/Verdict.js'
import type { Arrival } from '../adapters/Arrival.js'
import type { Row } from '../consensus/Row.js'
import type { Message } from '../transport/Message.js'
import type { StopTimes } from './StopTimes.js'

export type GatewayInput =
  | { kind: 'tick' }
  | { kind: 'adopted'; rows?: readonly Row[] }
  | { kind: 'outlook'; models: Extract<Message, { kind: 'outlook' }>['models'] }
  | { kind: 'arrived'; id: string; host: string; path: string; arrival: Arrival }
  | { kind: 'sent'; id: string; attempt: number }
  | { kind: 'head'; id: string; attempt: number; status: number; notRun: boolean }
  | { kind: 'event'; id: string; attempt: number; event: string | undefined; data: boolean }
  | { kind: 'flow'; id: string; attempt: number; blocked: boolean }
  | { kind: 'ended'; id: string; attempt: number }
  | { kind: 'defect'; id: string; attempt: number; verdict: Verdict; why: string }
  | { kind: 'callerGone'; id: string }
  | { kind: 'stop'; times: StopTimes }
  | { kind: 'stopEnd' }
