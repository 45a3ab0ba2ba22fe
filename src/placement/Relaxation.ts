/**
 * What a plan lets go of to find room: nothing on the ordinary path; copies that another server holds too (`spares`); in
 * the last resort the history window, then the overlap of windows, then the window of what another server holds too
 * (`doubles`); and for what has waited for long, any window (`turns`), so that models take turns.
 */
export type Relaxation = 'nothing' | 'spares' | 'history' | 'overlap' | 'doubles' | 'turns'
