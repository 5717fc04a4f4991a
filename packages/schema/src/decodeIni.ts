import type { DescField, DescMessage, JsonObject, JsonValue, MessageShape } from "@bufbuild/protobuf";
import { fromJson } from "@bufbuild/protobuf";
import { createValidator } from "@bufbuild/protovalidate";
import { parse } from "ini";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { convertScalar } from "./_lib/convertScalar.js";
import type { LineIndex } from "./_lib/indexLines.js";
import { findLine, indexLines } from "./_lib/indexLines.js";
import { findClosestMatch } from "./findClosestMatch.js";
import type { InputError } from "./InputError.js";

type DecodingContext = { readonly index: LineIndex; readonly errors: InputError[] };
type IniTree = { readonly [key: string]: unknown };

/** Id of the validation rule that a field is present. */
const REQUIRED_RULE = "required";

const validator = createValidator();

/**
 * Decodes an INI text into a message and validates it against the constraints of its schema.
 *
 * A section is a message field, a dotted section is an entry of a map, and a key is a scalar field under
 * its schema name. The items of a list are separated by commas.
 *
 * @param desc - The message type.
 * @param text - The INI text.
 * @returns The message, or all errors found, each with its line and a way to correct it. Constraints are
 * validated only if the text has no other errors.
 *
 * @example
 * decodeIni(DocumentSchema, text).map(document => document.customer);
 */
export function decodeIni<Desc extends DescMessage>(
    desc: Desc,
    text: string,
): Result<MessageShape<Desc>, readonly InputError[]> {
    const index = indexLines(text);
    const context: DecodingContext = { index, errors: [...index.duplicates] };
    const tree = parse(text);
    context.errors.push(...findDroppedPaths(tree, index));
    const json = convertMessage(desc, tree, "", context);
    if (context.errors.length > 0) {
        return err(context.errors);
    }
    const message = fromJson(desc, json);
    const violations = findViolations(desc, message, index);
    return violations.length > 0 ? err(violations) : ok(message);
}

/** Finds sections and keys of the text that the INI library leaves out of its tree, such as `__proto__`. */
function findDroppedPaths(tree: IniTree, index: LineIndex): readonly InputError[] {
    return [...index.lines]
        .filter(([path]) => path.split(".").includes("__proto__") || !hasPath(tree, path.split(".")))
        .map(([path, line]) => ({
            kind: "unknown-key",
            message: `Line ${line}: '${path}' contains a name that is not allowed. Choose another name.`,
            line,
            key: path,
            nearest: undefined,
        }));
}

function hasPath(tree: unknown, path: readonly string[]): boolean {
    const [first, ...rest] = path;
    if (first === undefined) {
        return true;
    }
    return isTree(tree) && Object.hasOwn(tree, first) && hasPath(tree[first], rest);
}

function convertMessage(
    desc: DescMessage,
    tree: IniTree,
    path: string,
    context: DecodingContext,
): JsonObject {
    const json: JsonObject = {};
    for (const [key, raw] of Object.entries(tree)) {
        const field = desc.fields.find(candidate => candidate.name === key);
        const fieldPath = path === "" ? key : `${path}.${key}`;
        if (field === undefined) {
            context.errors.push(unknownKeyError(desc, key, fieldPath, context.index));
            continue;
        }
        const value = convertField(field, raw, fieldPath, context);
        if (value !== undefined) {
            json[field.jsonName] = value;
        }
    }
    return json;
}

function convertField(
    field: DescField,
    raw: unknown,
    path: string,
    context: DecodingContext,
): JsonValue | undefined {
    if (field.fieldKind === "map") {
        return isTree(raw)
            ? convertMap(field, raw, path, context)
            : reportBadValue(path, "a section", context);
    }
    if (field.fieldKind === "message") {
        return isTree(raw)
            ? convertMessage(field.message, raw, path, context)
            : reportBadValue(path, "a section", context);
    }
    if (isTree(raw)) {
        return reportBadValue(path, "a value, not a section", context);
    }
    if (field.fieldKind === "list") {
        const parts = String(raw).split(",").map(part => part.trim()).filter(part => part !== "");
        return parts.map(part => convertValue(field, part, path, context) ?? "");
    }
    return convertValue(field, raw, path, context);
}

function convertMap(
    field: DescField & { fieldKind: "map" },
    tree: IniTree,
    path: string,
    context: DecodingContext,
): JsonObject {
    const json: JsonObject = {};
    for (const [key, raw] of Object.entries(tree)) {
        const entryPath = `${path}.${key}`;
        if (!isTree(raw)) {
            const closest = field.message
                ? findClosestMatch(key, field.message.fields.map(entry => entry.name))
                : undefined;
            context.errors.push({
                kind: "unknown-key",
                message: `Line ${findLine(context.index, entryPath)}: '${key}' is directly in '${path}'. `
                    + `Move it to a section such as '[${path}.NAME]'.`,
                line: findLine(context.index, entryPath),
                key: entryPath,
                nearest: closest,
            });
            continue;
        }
        json[key] = convertMessage(field.message!, raw, entryPath, context);
    }
    return json;
}

function convertValue(
    field: DescField,
    raw: unknown,
    path: string,
    context: DecodingContext,
): JsonValue | undefined {
    const result = convertScalar(field, raw);
    return result.isOk() ? result.value : reportBadValue(path, result.error, context);
}

function isTree(raw: unknown): raw is IniTree {
    return typeof raw === "object" && raw !== null && !Array.isArray(raw);
}

function reportBadValue(path: string, expected: string, context: DecodingContext): undefined {
    const line = findLine(context.index, path);
    const message = `Line ${line}: '${path}' has an invalid value. Write ${expected}.`;
    context.errors.push({ kind: "bad-value", message, line, key: path });
    return undefined;
}

function unknownKeyError(desc: DescMessage, key: string, path: string, index: LineIndex): InputError {
    const names = desc.fields.map(field => field.name);
    const suggestion = findClosestMatch(key, names);
    const line = findLine(index, path);
    const correction = suggestion === undefined
        ? `Use one of ${names.map(name => `'${name}'`).join(", ")}.`
        : `Write '${suggestion}' instead.`;
    return {
        kind: "unknown-key",
        message: `Line ${line}: '${path}' is unknown. ${correction}`,
        line,
        key: path,
        nearest: suggestion,
    };
}

function findViolations<Desc extends DescMessage>(
    desc: Desc,
    message: MessageShape<Desc>,
    index: LineIndex,
): readonly InputError[] {
    const result = validator.validate(desc, message);
    if (result.kind === "valid") {
        return [];
    }
    if (result.kind === "error") {
        throw result.error;
    }
    return result.violations.map(violation => {
        const path = violation.field.map(step => pathElementText(step)).filter(step => step !== "").join(".");
        const line = findLine(index, path);
        const text = violation.ruleId === REQUIRED_RULE
            ? `Line ${line}: '${path}' is missing. Add it.`
            : `Line ${line}: '${path}' violates a constraint: ${violation.message}. Change it to a valid value.`;
        return { kind: "constraint", message: text, line, key: path } as const;
    });
}

function pathElementText(element: { kind: string }): string {
    if (element.kind === "map_sub" && "key" in element) {
        return String(element.key);
    }
    return element.kind === "field" && "name" in element ? String(element.name) : "";
}
