import type { DescEnum, DescField } from "@bufbuild/protobuf";
import { ScalarType } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";

/** A value in the form that protobuf's JSON mapping reads. */
export type JsonScalar = string | number | boolean;

/**
 * Converts the text of one INI value to the type of a scalar or enumeration field.
 *
 * @param field - The field whose type counts.
 * @param raw - The value as the INI library returned it.
 * @returns The converted value, or a phrase that says what is expected.
 */
export function convertScalar(field: DescField, raw: unknown): Result<JsonScalar, string> {
    const text = String(raw).trim();
    const kind = field.fieldKind === "list" ? field.listKind : field.fieldKind;
    if (kind === "enum") {
        return convertEnum(field.enum!, text);
    }
    switch (field.scalar) {
        case ScalarType.BOOL:
            return text === "true" || text === "false" ? ok(text === "true") : err("'true' or 'false'");
        case ScalarType.UINT32:
            return /^\d{1,10}$/.test(text) ? ok(Number(text)) : err("a whole number that is not negative");
        case ScalarType.DOUBLE:
            return /^\d+(\.\d+)?$/.test(text) ? ok(Number(text)) : err("a number that is not negative");
        case ScalarType.STRING:
            return ok(text);
        default:
            return err("a type that INI can express");
    }
}

function convertEnum(desc: DescEnum, text: string): Result<string, string> {
    const options = mapEnumTexts(desc);
    const name = options.get(text);
    return name === undefined
        ? err(`one of ${[...options.keys()].map(option => `'${option}'`).join(", ")}`)
        : ok(name);
}

function mapEnumTexts(desc: DescEnum): Map<string, string> {
    const texts = new Map<string, string>();
    for (const value of desc.values) {
        if (value.number !== 0) {
            texts.set(value.localName.toLowerCase().replaceAll("_", "-"), value.name);
        }
    }
    return texts;
}
