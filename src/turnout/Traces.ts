/**
 * Traces of requests in OpenTelemetry's JSON form, through its library: a span for a request's whole way
 * and one for each attempt, appended to a file a batch a line. Off unless the startup names the file.
 */
import { strictEqual } from 'node:assert'
import { appendFile, mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { context, type Span, SpanStatusCode, trace, type Tracer } from '@opentelemetry/api'
import { JsonTraceSerializer } from '@opentelemetry/otlp-transformer'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BasicTracerProvider, BatchSpanProcessor, type ReadableSpan } from '@opentelemetry/sdk-trace-base'
import { z } from 'zod'
import { proof } from '../gauge/proof.js'

export class Traces {
  readonly #provider: BasicTracerProvider | undefined
  readonly #tracer: Tracer

  constructor(name: string, file: string | undefined) {
    if (file !== undefined) {
      const write = (spans: ReadableSpan[], done: (result: { code: number; error?: Error }) => void) => {
        const line = Buffer.concat([JsonTraceSerializer.serializeRequest(spans) ?? Buffer.alloc(0), Buffer.from('\n')])
        appendFile(file, line).then(
          () => {
            done({ code: 0 })
          },
          (error: unknown) => {
            done({ code: 1, error: error instanceof Error ? error : new Error(String(error)) })
          },
        )
      }
      const exporter = { export: write, shutdown: () => Promise.resolve() }
      const resource = resourceFromAttributes({ 'service.name': 'springpaddle-turnout', 'service.instance.id': name })
      this.#provider = new BasicTracerProvider({ resource, spanProcessors: [new BatchSpanProcessor(exporter)] })
    }
    this.#tracer = this.#provider?.getTracer('turnout') ?? trace.getTracer('off')
  }

  begin(name: string, attributes: Record<string, string>, parent?: Span): Span {
    return this.#tracer.startSpan(name, { attributes }, parent === undefined ? context.active() : trace.setSpan(context.active(), parent))
  }

  end(span: Span | undefined, attributes: Record<string, string>, defect: string): void {
    if (span === undefined) return
    span.setAttributes(attributes)
    if (defect !== '') span.setStatus({ code: SpanStatusCode.ERROR, message: defect })
    span.end()
  }

  async close(): Promise<void> {
    await this.#provider?.shutdown()
  }
}

const Line = z.object({
  resourceSpans: z.array(
    z.object({
      scopeSpans: z.array(
        z.object({ spans: z.array(z.object({ name: z.string(), parentSpanId: z.string().optional(), traceId: z.string() })) }),
      ),
    }),
  ),
})
proof(import.meta.url, {
  'a request and its attempt are one trace in the file, and nothing is written when it is off': async () => {
    const folder = await mkdtemp(join(tmpdir(), 'traces-'))
    const file = join(folder, 'traces.jsonl')
    for (const where of [undefined, file]) {
      const traces = new Traces('post-1', where)
      const request = traces.begin('request', { 'request.id': 'r1' })
      traces.end(traces.begin('attempt', { server: 's' }, request), {}, 'broke')
      traces.end(request, { outcome: 'responded' }, '')
      await traces.close()
    }
    const text = await readFile(file, 'utf8')
    const spans = Line.parse(JSON.parse(text))
      .resourceSpans.flatMap((one) => one.scopeSpans)
      .flatMap((one) => one.spans)
    strictEqual(
      spans
        .map((one) => one.name)
        .sort()
        .join(),
      'attempt,request',
    )
    strictEqual(new Set(spans.map((one) => one.traceId)).size, 1)
    strictEqual(spans.filter((one) => (one.parentSpanId ?? '') !== '').length, 1)
    await rm(folder, { recursive: true })
  },
})
