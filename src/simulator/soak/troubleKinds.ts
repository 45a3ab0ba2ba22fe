/**
 * Every kind of trouble of a soak.
 */
export const troubleKinds = [
  'stop',
  'reload',
  'kill',
  'freeze',
  'cut',
  'cutOut',
  'loseOrders',
  'loseOperators',
  'crashServer',
  'slowServer',
  'breakAnswers',
  'burstBodies',
  'burstChanges',
  'holdAddress',
  'overlapStart',
] as const
