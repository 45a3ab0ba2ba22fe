/**
 * The key of a model, or of an adapter on its model.
 */
export function keyOf(model: string, adapter: string): string {
  return adapter === '' ? model : `${model}/${adapter}`
}
