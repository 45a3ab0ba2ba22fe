/**
 * What a run of a runbook saw, one JSON line each: first the run itself, then its steps. A run goes on
 * from its record behind the last step that was done, under the same operation ids.
 */
import { appendFileSync, readFileSync } from 'node:fs'
import { z } from 'zod'

const Run = z.object({ run: z.string(), runbook: z.string(), variables: z.record(z.string(), z.string()), at: z.string() })
const Step = z.object({ step: z.number(), title: z.string(), ended: z.enum(['done', 'failed']), saw: z.string(), at: z.string() })

export class RunbookRecord {
  readonly #path: string
  readonly run: z.infer<typeof Run>
  readonly next: number

  private constructor(path: string, run: z.infer<typeof Run>, next: number) {
    this.#path = path
    this.run = run
    this.next = next
  }

  static begin(path: string, runbook: string, variables: Record<string, string>): RunbookRecord {
    const run = { run: crypto.randomUUID(), runbook, variables, at: new Date().toISOString() }
    appendFileSync(path, `${JSON.stringify(run)}\n`, { flag: 'ax' })
    return new RunbookRecord(path, run, 0)
  }

  /** Gives the reason where the file is no record. */
  static resume(path: string): RunbookRecord | string {
    try {
      const [first = '', ...lines] = readFileSync(path, 'utf8').trimEnd().split('\n')
      const steps = lines.map((line) => Step.parse(JSON.parse(line)))
      const next = Math.max(0, ...steps.filter((step) => step.ended === 'done').map((step) => step.step + 1))
      return new RunbookRecord(path, Run.parse(JSON.parse(first)), next)
    } catch (error) {
      return `${path}: ${error instanceof Error ? error.message : String(error)}`
    }
  }

  step(entry: Omit<z.infer<typeof Step>, 'at'>): void {
    appendFileSync(this.#path, `${JSON.stringify({ ...entry, at: new Date().toISOString() })}\n`)
  }
}
