import type { Result } from "neverthrow";
import { decodeIni } from "./decodeIni.js";
import type { Document } from "./generated/balsamward/v1/document_pb.js";
import { DocumentSchema } from "./generated/balsamward/v1/document_pb.js";
import type { InputError } from "./InputError.js";

/**
 * Parses an operators' document.
 *
 * Checks form and ranges only; whether the guarantees can be packed is checked by the placement package.
 *
 * @param text - The document's INI text.
 * @returns The document, or every fault with its line and a remedy.
 *
 * @example
 * parseDocument(text).map(document => Object.keys(document.customer));
 */
export function parseDocument(text: string): Result<Document, readonly InputError[]> {
    return decodeIni(DocumentSchema, text);
}
