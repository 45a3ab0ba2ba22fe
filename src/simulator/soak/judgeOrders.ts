/**
 * No order goes beyond a server's memory, no fence has two owners, none that is taken is lower than one before
 * it, and no two holders that are in touch take turns at a server.
 */
import type { SoakLog } from './SoakLog.js'
import type { SoakOrderSeen } from './SoakOrderSeen.js'
import { SoakScene } from './SoakScene.js'
import { soakTimes } from './soakTimes.js'

const leaseMs = 3000
/** The server whose life this is. */
const nameOf = (server: string) => server.slice(0, server.lastIndexOf('.'))

function beyond(orders: readonly SoakOrderSeen[]): string[] {
  return orders
    .filter((one) => one.fillsMb > SoakScene.roomMb || one.fillsPlaces > SoakScene.adapterPlaces)
    .map((one) => `${one.server}: ${one.model} ${one.adapter} fills ${String(one.fillsMb)} MB and ${String(one.fillsPlaces)} places`)
}

function shared(orders: readonly SoakOrderSeen[]): string[] {
  const owners = new Map<number, string>()
  const faults: string[] = []
  for (const { fence, owner } of orders) {
    const known = owners.get(fence) ?? owner
    if (known !== owner) faults.push(`fence ${String(fence)} is used by ${known} and by ${owner}`)
    owners.set(fence, known)
  }
  return [...new Set(faults)]
}

function lower(orders: readonly SoakOrderSeen[]): string[] {
  const highest = new Map<string, number>()
  const faults: string[] = []
  for (const { server, fence, status, owner } of orders) {
    const known = highest.get(server) ?? -1
    if (status >= 200 && status < 300 && fence < known)
      faults.push(`${server}: took fence ${String(fence)} of ${owner} after ${String(known)}`)
    highest.set(server, Math.max(known, fence))
  }
  return faults
}

function turns(orders: readonly SoakOrderSeen[], log: SoakLog): string[] {
  const faults: string[] = []
  for (const server of new Set(orders.map((one) => nameOf(one.server)))) {
    const seen = orders.filter((one) => nameOf(one.server) === server)
    seen.forEach((third, at) => {
      const second = seen.slice(0, at).findLast((one) => one.owner !== third.owner)
      if (second === undefined) return
      const first = seen.slice(0, seen.indexOf(second)).findLast((one) => one.owner === third.owner)
      if (first === undefined || third.atMs - first.atMs > leaseMs) return
      const touched = (one: SoakOrderSeen) => soakTimes.inTouch(log.spans, one.owner, one.atMs)
      if ([first, second, third].every(touched)) faults.push(`${server}: ${third.owner}, ${second.owner} and ${third.owner} took turns`)
    })
  }
  return [...new Set(faults)]
}

export function judgeOrders(log: SoakLog): string[] {
  const orders = [...log.orders].sort((one, other) => one.atMs - other.atMs)
  return [...beyond(orders), ...shared(orders), ...lower(orders), ...turns(orders, log)]
}
