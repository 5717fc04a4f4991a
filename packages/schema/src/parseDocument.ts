import type { Result } from "neverthrow";
import { decodeIni } from "./decodeIni.js";
import type { Document } from "./generated/balsamward/v1/document_pb.js";
import { DocumentSchema } from "./generated/balsamward/v1/document_pb.js";
import type { InputError } from "./InputError.js";

/**
 * Parses the document that operators submit as the configuration of an environment.
 *
 * Validates syntax, types and ranges only. The placement package checks whether the cells have room for all
 * guarantees.
 *
 * @param text - The document as INI text.
 * @returns The document, or all errors found, each with its line and a way to correct it.
 *
 * @example
 * parseDocument(text).map(document => Object.keys(document.customer));
 */
export function parseDocument(text: string): Result<Document, readonly InputError[]> {
    return decodeIni(DocumentSchema, text);
}
