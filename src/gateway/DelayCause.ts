/**
 * What a request spends its time on before the first byte of its answer. A small closed set, as it labels a metric.
 *
 * - `model_absent`: waits for a server to load its model.
 * - `adapter_absent`: waits for a server that holds its model to attach its adapter.
 * - `cold_server`: all holders that could take it are cold, or it was sent to one that is.
 * - `suspect_server`: all holders that could take it failed lately.
 * - `no_place`: all holders run as much as they may.
 * - `connecting`: waits for a connection to its server.
 * - `crowded_copy`: was sent to a server that runs far more than another copy, and more than its part.
 * - `server_time`: was sent to a server that runs no more than others.
 * - `failed_try`: was sent to a server that did not answer it in the end.
 */
export type DelayCause =
  | 'model_absent'
  | 'adapter_absent'
  | 'cold_server'
  | 'suspect_server'
  | 'no_place'
  | 'connecting'
  | 'crowded_copy'
  | 'server_time'
  | 'failed_try'
