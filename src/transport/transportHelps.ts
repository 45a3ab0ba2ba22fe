/**
 * What each figure of a transport tells, for the meters.
 */
export const transportHelps: Record<string, string> = {
  transport_malformed: 'connections closed for a frame that is too long or holds no message',
  transport_unknown_kind: 'messages dropped that are of a kind which this version does not know',
  transport_foreign: 'messages dropped that are of another cluster',
  transport_resets: 'connections reset because the other end showed nothing of what it was sent',
  transport_backed_up: 'messages dropped because too much waited on their connection',
  transport_connections: 'connections open, to and from other processes',
}
