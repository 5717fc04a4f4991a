/** An error in a document or settings file, with the line and dotted path of the key that it concerns. */
export type InputError =
    | { kind: "unknown-key"; message: string; line: number; key: string; nearest: string | undefined }
    | { kind: "duplicate-key"; message: string; line: number; key: string }
    | { kind: "bad-value"; message: string; line: number; key: string }
    | { kind: "constraint"; message: string; line: number; key: string }
    | { kind: "unpackable-guarantee"; message: string; line: number; key: string };
