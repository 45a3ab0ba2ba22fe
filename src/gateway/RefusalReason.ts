/**
 * Why a gateway refused a request, as one of a small closed set: the sentences that callers and the log get hold
 * names and statuses, which no metric may have as labels.
 */
type Code =
  | 'no_route'
  | 'out_of_touch'
  | 'not_ready'
  | 'method'
  | 'body_size'
  | 'memory'
  | 'retry_budget'
  | 'no_holder'
  | 'no_place'
  | 'no_server_in_time'
  | 'due_passed'
  | 'no_connection'
  | 'server_refused'
  | 'server_error'
  | 'server_silent'
  | 'stopping'
  | 'other'

/** The first pattern that a sentence matches tells its code. */
const codes: readonly (readonly [RegExp, Code])[] = [
  [/no further try is left in the budget$/, 'retry_budget'],
  [/as far as is known out of touch with the core$/, 'out_of_touch'],
  [/^no route leads there$/, 'no_route'],
  [/^has no network in force yet$/, 'not_ready'],
  [/^method: /, 'method'],
  [/^the body is over /, 'body_size'],
  [/^has no memory for the body now$/, 'memory'],
  [/^no server holds what it needs$/, 'no_holder'],
  [/^no place is free$/, 'no_place'],
  [/^no server can take it in time$/, 'no_server_in_time'],
  [/^due passed$/, 'due_passed'],
  [/^the server took no connection$/, 'no_connection'],
  [/^the server turned it away with /, 'server_refused'],
  [/^the server answered /, 'server_error'],
  [/^the server fell silent$/, 'server_silent'],
  [/^the gateway stops /, 'stopping'],
]

export const RefusalReason = {
  of(why: string): RefusalReason {
    return codes.find(([pattern]) => pattern.test(why))?.[1] ?? 'other'
  },
}
export type RefusalReason = Code
