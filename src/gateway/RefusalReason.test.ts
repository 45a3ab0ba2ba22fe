import { strictEqual } from 'node:assert'
import { test } from 'node:test'
import { RefusalReason } from './RefusalReason.js'

const sentences: Record<string, RefusalReason> = {
  'no route leads there': 'no_route',
  'no route leads there, as far as is known out of touch with the core': 'out_of_touch',
  'has no network in force yet': 'not_ready',
  'method: not allowed here': 'method',
  'the body is over 4194304 bytes': 'body_size',
  'the server turned it away with 503; no further try is left in the budget': 'retry_budget',
  '; no further try is left in the budget': 'retry_budget',
  'no server holds what it needs': 'no_holder',
  'no place is free': 'no_place',
  'no server can take it in time': 'no_server_in_time',
  'due passed': 'due_passed',
  'the server took no connection': 'no_connection',
  'the server turned it away with 503': 'server_refused',
  'the server answered 500': 'server_error',
  'the server answered 503 and did not say that it had not run it': 'server_error',
  'the server fell silent': 'server_silent',
  'the gateway stops before this could be answered': 'stopping',
  'connect ECONNREFUSED 10.0.0.1:80': 'other',
  '': 'other',
}

test('each sentence of a refusal has its reason, and one with names of its own is other', () => {
  for (const [why, reason] of Object.entries(sentences)) strictEqual(RefusalReason.of(why), reason, why)
})
