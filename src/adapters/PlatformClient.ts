/**
 * The port through which a control node, and a machine that has lost the core, speaks to the platform and to
 * model servers. Whatever goes wrong becomes an outcome; nothing throws. `held` says that what the order
 * asks for already is so.
 */
import type { Order } from '../common/Order.js'
import type { PlatformServer } from '../common/PlatformServer.js'
import type { Report } from '../common/Report.js'

export interface PlatformClient {
  list(waitMs: number): Promise<PlatformServer[] | undefined>
  holds(server: string, address: string, epoch: number, waitMs: number): Promise<Report | undefined>
  order(
    server: string,
    address: string,
    order: Order,
    owner: string,
    waitMs: number,
  ): Promise<'accepted' | 'held' | 'turnedAway' | 'unknown'>
}
