/** Pattern that every identifier matches. */
export const IDENTIFIER_PATTERN = /^[a-z0-9][a-z0-9-]{0,127}$/;

/** Maximum edit distance between an unknown key and the known key that an error message suggests. */
export const MAX_SUGGESTION_EDITS = 4;
