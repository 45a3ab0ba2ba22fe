/**
 * Builds a protobuf codec out of a zod union of messages told apart by `kind`. The zod schema is the
 * one definition: it gives the TypeScript type, the check of what arrives, and, by the order of its
 * fields, the protobuf field numbers. So fields are only ever added at the end, as optional ones.
 */
import protobuf from 'protobufjs'
import { z } from 'zod'

function addFields(type: protobuf.Type, shape: Record<string, unknown>, skip: string): void {
  let id = 0
  for (const [name, schema] of Object.entries(shape)) {
    if (name === skip) continue
    id += 1
    let inner: unknown = schema
    let rule: string | undefined
    if (inner instanceof z.ZodOptional) {
      inner = inner.unwrap()
      rule = 'proto3_optional'
    }
    if (inner instanceof z.ZodArray) {
      inner = inner.element
      rule = 'repeated'
    }
    if (rule === 'proto3_optional') {
      const field = new protobuf.Field(name, id, typeName(type, name, inner), undefined, undefined, { proto3_optional: true })
      type.add(field)
      type.add(new protobuf.OneOf(`_${name}`, [name]))
    } else type.add(new protobuf.Field(name, id, typeName(type, name, inner), rule))
  }
}

function typeName(parent: protobuf.Type, name: string, schema: unknown): string {
  if (schema instanceof z.ZodNumber) return 'double'
  if (schema instanceof z.ZodString || schema instanceof z.ZodEnum) return 'string'
  if (schema instanceof z.ZodBoolean) return 'bool'
  if (schema instanceof z.ZodObject) {
    const nested = new protobuf.Type(`${name.charAt(0).toUpperCase()}${name.slice(1)}`)
    addFields(nested, schema.shape, '')
    parent.add(nested)
    return nested.name
  }
  return 'bytes'
}

export class Codec<T extends { kind: string }> {
  readonly #envelope: protobuf.Type
  readonly #schema: z.ZodType<T>

  constructor(schema: z.ZodType<T>, options: readonly z.ZodObject[]) {
    this.#schema = schema
    const root = new protobuf.Root()
    const envelope = new protobuf.Type('Envelope')
    root.add(envelope)
    const kinds: string[] = []
    options.forEach((option, at) => {
      const literal: unknown = option.shape['kind']
      if (!(literal instanceof z.ZodLiteral)) throw new Error('codec: each message needs a literal kind')
      const kind = String(literal.value)
      const message = new protobuf.Type(`${kind.charAt(0).toUpperCase()}${kind.slice(1)}`)
      addFields(message, option.shape, 'kind')
      root.add(message)
      envelope.add(new protobuf.Field(kind, at + 1, message.name))
      kinds.push(kind)
    })
    envelope.add(new protobuf.OneOf('body', kinds))
    root.resolveAll()
    this.#envelope = envelope
  }

  encode(message: T): Uint8Array {
    const { kind, ...body } = message
    return this.#envelope.encode(this.#envelope.fromObject({ [kind]: body })).finish()
  }

  /** Gives nothing for bytes that are no message of this kind; never throws. */
  decode(bytes: Uint8Array): T | undefined {
    try {
      const plain: Record<string, unknown> = this.#envelope.toObject(this.#envelope.decode(bytes), {
        oneofs: true,
        defaults: true,
        arrays: true,
      })
      const kind = plain['body']
      if (typeof kind !== 'string') return undefined
      const body: unknown = plain[kind]
      const read = this.#schema.safeParse({ kind, ...(typeof body === 'object' ? body : {}) })
      return read.success ? read.data : undefined
    } catch {
      return undefined
    }
  }
}
