/**
 * The name under which the replicated table holds the placement scheduler's role.
 */
export const schedulerDuty = 'dispatcher'
