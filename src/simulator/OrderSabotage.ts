/**
 * How a model run departs from the real system, to show that the judge notices.
 */
import type { ControlMachine } from '../control/ControlMachine.js'
import type { Message } from '../transport/Message.js'
import type { OperatorAnswer } from './OperatorAnswer.js'
import type { OperatorRequest } from './OperatorRequest.js'

export interface OrderSabotage {
  /** Answers a request in the place of the machine. */
  answer?: (machine: ControlMachine, request: OperatorRequest) => OperatorAnswer | undefined
  /** Changes a message on its way. */
  change?: (message: Message) => Message
  /** Is told of a machine at each of its ticks. */
  meddle?: (machine: ControlMachine) => void
  /** A machine that starts from its disk draws the same in every life. */
  sameLives?: boolean
}
