/**
 * What the servers of a schedule saw and sent, by the ids of requests: the half of the truth that no
 * gateway can touch.
 */
interface Run {
  id: string
  server: string
  line: string
  body: string
  /** False where the server said that it did not run the request. */
  ran: boolean
  /** Told with the answer; one of its own for each run. */
  seal: string
  status: number
  /** The whole answer; nothing where no whole and sound one was sent. */
  answer: string | undefined
}

export class RunLog {
  readonly runs: Run[] = []

  of(id: string): Run[] {
    return this.runs.filter((run) => run.id === id)
  }
}
