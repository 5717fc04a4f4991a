import type { DescEnum, DescField } from "@bufbuild/protobuf";
import { ScalarType } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";

const MAX_UINT32 = 0xffff_ffff;

/** A scalar value in the JSON mapping of Protocol Buffers. */
export type JsonScalar = string | number | boolean;

/**
 * Converts an INI value to the type of a scalar or enum field, or of the items of a list field.
 *
 * @param field - The field that receives the value.
 * @param raw - The value as returned by the INI library.
 * @returns The converted value, or a phrase for the error message that names the expected value.
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
            return convertNumber(text, /^\d+$/, MAX_UINT32, "a whole number that is not negative");
        case ScalarType.DOUBLE:
            return convertNumber(text, /^\d+(\.\d+)?$/, Number.MAX_VALUE, "a number that is not negative");
        case ScalarType.STRING:
            return ok(text);
        default:
            return err("a value of a type that INI supports");
    }
}

function convertNumber(
    text: string,
    pattern: RegExp,
    maximum: number,
    expected: string,
): Result<number, string> {
    if (!pattern.test(text)) {
        return err(expected);
    }
    return Number(text) <= maximum ? ok(Number(text)) : err(`a number of at most ${maximum}`);
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
