/** A fault in a text that a person wrote: a document or a settings file. */
export type InputError =
    | { kind: "unknown-key"; message: string; line: number; key: string; suggestion: string | undefined }
    | { kind: "duplicate-key"; message: string; line: number; key: string }
    | { kind: "bad-value"; message: string; line: number; key: string }
    | { kind: "constraint"; message: string; line: number; key: string }
    | { kind: "unpackable-guarantee"; message: string; line: number; key: string };
