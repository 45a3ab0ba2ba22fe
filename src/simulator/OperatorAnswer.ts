/**
 * What a caller of a model run was told; status 0 stands for no answer.
 */
export interface OperatorAnswer {
  readonly status: number
  readonly text: string
}
