/**
 * One line for the log about what was asked for and is held nowhere.
 */
import type { PlacementFigures } from './PlacementFigures.js'

export function summaryOf(figures: PlacementFigures): string {
  const parts = [
    `${String(figures.modelsHeldNowhere)} wanted models held nowhere, the oldest for ${String(Math.round(figures.oldestUnmetWantMs))} ms`,
    `coming ${String(figures.unmetComing)}, no idle server ${String(figures.unmetNoIdleServer)}, no victim ${String(figures.unmetNoVictim)}, ` +
      `store pace ${String(figures.unmetStorePace)}, loads at once ${String(figures.unmetStoreConcurrency)}`,
    `servers idle ${String(figures.serversIdle)}, unloading ${String(figures.serversUnloading)}, loading ${String(figures.serversLoading)}, ` +
      `attaching ${String(figures.serversAttaching)}`,
    `models held ${String(figures.firstCopies)}, further copies ${String(figures.furtherCopies)}`,
    `wants held ${String(figures.wantsHeld)}, busy ${String(figures.wantsBusy)}, forecast ${String(figures.wantsForecast)}, ` +
      `spare ${String(figures.wantsSpare)}`,
    `loads started ${String(figures.loadsStarted)}, done ${String(figures.loadsDone)}, unloads ${String(figures.unloadsStarted)}`,
  ]
  return `${parts.join('; ')}.`
}
