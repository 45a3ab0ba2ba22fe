/**
 * Defaults of a charter for the tests.
 */
export const sampleDefaults = {
  dueMs: 1000,
  bodyLimitBytes: 10,
  retryRatio: 0.2,
  retryAllowance: 4,
  coldLimit: 2,
  warmMs: 0,
  serverLimit: 8,
  intent: { weight: 1, coldStartCost: 1, hours: [] },
}
