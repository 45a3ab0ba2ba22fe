/**
 * Why a model that was asked for is not there: a load is planned or under way; no server is free of orders; nothing may
 * make way on any that is; or the pace or the number of loads at once of the weight store holds its load up.
 */
export type UnmetReason = 'coming' | 'noIdleServer' | 'noVictim' | 'storePace' | 'storeConcurrency'
