/**
 * A typed event map: tasks talk by ringing named events whose payload types the map fixes. Nothing
 * is queued; a listener that must not re-enter its machine posts to its own queue.
 */
export class Emitter<Events extends object> {
  readonly #listeners: { [K in keyof Events]?: ((event: Events[K]) => void)[] } = {}

  on<K extends keyof Events>(name: K, listener: (event: Events[K]) => void): void {
    const listeners = this.#listeners[name] ?? []
    listeners.push(listener)
    this.#listeners[name] = listeners
  }

  ring<K extends keyof Events>(name: K, event: Events[K]): void {
    for (const listener of this.#listeners[name] ?? []) listener(event)
  }
}
