/**
 * Keeps the sizes of models that a change of the configuration no longer lists, as rows of the replicated table, and takes away the
 * rows of models that it lists again. The rows go once no server holds the model, which the placement scheduler sees to.
 */
import type { Network } from '../common/Network.js'
import type { ReplicaTable } from './ReplicaTable.js'
import type { RetiredModel } from './RetiredModel.js'

type Service = Network['services'][number]

function modelsOf(services: readonly Service[]): { key: string; size: RetiredModel }[] {
  return services.flatMap(({ name, batch }) =>
    (batch?.models ?? []).map(({ name: model, sizeMb, adapterMb }) => ({ key: `retired/${name}:${model}`, size: { sizeMb, adapterMb } })),
  )
}

/** `before` and `after` are the services that a change touches, as they were and as they are, under the log index of the change. */
export function retireModels(copy: ReplicaTable, index: number, before: readonly Service[], after: readonly Service[]): void {
  const listed = new Set(modelsOf(after).map(({ key }) => key))
  for (const { key, size } of modelsOf(before))
    if (!listed.has(key)) copy.set({ key, stamp: index, gone: false, value: JSON.stringify(size) })
  for (const key of listed) if (copy.get(key) !== undefined) copy.set({ key, stamp: index, gone: true, value: '' })
}
