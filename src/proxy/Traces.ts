/**
 * Traces of requests in OpenTelemetry's JSON form, through its library: a span for a request's whole way
 * and one for each attempt, appended to a file a batch a line. Off unless the startup names the file.
 */
import { appendFile } from 'node:fs/promises'
import { context, type Span, SpanStatusCode, trace, type Tracer } from '@opentelemetry/api'
import { JsonTraceSerializer } from '@opentelemetry/otlp-transformer'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BasicTracerProvider, BatchSpanProcessor, type ReadableSpan } from '@opentelemetry/sdk-trace-base'

export class Traces {
  readonly #provider: BasicTracerProvider | undefined
  readonly #tracer: Tracer

  constructor(name: string, file: string | undefined) {
    if (file !== undefined) {
      const write = (spans: ReadableSpan[], done: (result: { code: number; error?: Error }) => void) => {
        const connection = Buffer.concat([JsonTraceSerializer.serializeRequest(spans) ?? Buffer.alloc(0), Buffer.from('\n')])
        appendFile(file, connection).then(
          () => {
            done({ code: 0 })
          },
          (error: unknown) => {
            done({ code: 1, error: error instanceof Error ? error : new Error(String(error)) })
          },
        )
      }
      const exporter = { export: write, shutdown: () => Promise.resolve() }
      const resource = resourceFromAttributes({ 'service.name': 'springpaddle-proxy', 'service.instance.id': name })
      this.#provider = new BasicTracerProvider({ resource, spanProcessors: [new BatchSpanProcessor(exporter)] })
    }
    this.#tracer = this.#provider?.getTracer('proxy') ?? trace.getTracer('off')
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
