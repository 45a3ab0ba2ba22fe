/** What the head of a server's answer says of it: `sealed` that it is whole and the server's own. */
export interface Reply {
  notRun: boolean
  sealed: boolean
  id: string | undefined
}
