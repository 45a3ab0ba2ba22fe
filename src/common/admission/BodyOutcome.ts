/**
 * How the reading of a body ended. Only a whole one is taken; after any other the connection brings no further request, and is closed
 * after the answer.
 */
export type BodyOutcome =
  | { readonly kind: 'whole'; readonly bytes: Buffer }
  /** Over the limit for one body. */
  | { readonly kind: 'tooLong' }
  /** No memory for it now. */
  | { readonly kind: 'noMemory' }
  /** It brought nothing for too long, or too little. */
  | { readonly kind: 'tooSlow' }
  /** Too many bodies come in tiny pieces now. */
  | { readonly kind: 'tooCostly' }
  /** Its client is gone. */
  | { readonly kind: 'gone' }
