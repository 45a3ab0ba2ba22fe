/**
 * What the leader has lent this proxy of the limits that all proxies share. It dies with the
 * lease that it rode on; a permit from other seats does not renew it.
 */

export class Lent {
  serial = 0
  #untilMs = -Infinity
  #counts = new Map<string, number>()

  take(serial: number, untilMs: number, shares: readonly { key: string; count: number }[]): void {
    if (serial < this.serial) return
    this.serial = serial
    this.#untilMs = untilMs
    this.#counts = new Map(shares.map((one) => [one.key, one.count]))
  }

  of(key: string, nowMs: number): number {
    return nowMs < this.#untilMs ? (this.#counts.get(key) ?? 0) : 0
  }
}
