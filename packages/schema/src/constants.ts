/** Form of every identifier. */
export const IDENTIFIER_PATTERN = /^[a-z0-9][a-z0-9-]{0,127}$/;

/** Most edits between an unknown key and the known key that an error proposes. */
export const MAX_SUGGESTION_EDITS = 4;
