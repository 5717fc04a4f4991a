import type { DescField, DescMessage, JsonObject, JsonValue, MessageShape } from "@bufbuild/protobuf";
import { fromJson } from "@bufbuild/protobuf";
import { createValidator } from "@bufbuild/protovalidate";
import { parse } from "ini";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { convertScalar } from "./_lib/convertScalar.js";
import type { LineIndex } from "./_lib/indexLines.js";
import { indexLines, lineOf } from "./_lib/indexLines.js";
import type { InputError } from "./InputError.js";
import { nearestText } from "./nearestText.js";

type Decoding = { readonly index: LineIndex; readonly errors: InputError[] };
type IniTree = { readonly [key: string]: unknown };

const validator = createValidator();

/**
 * Decodes an INI text into a message and checks the constraints of its schema.
 *
 * Sections are message fields, dotted sections are entries of maps, keys are scalar fields
 * under their schema names, and lists are separated by commas.
 *
 * @param desc - The message type.
 * @param text - The INI text.
 * @returns The message, or every fault that was found, each with its line and a remedy.
 *
 * @example
 * decodeIni(DocumentSchema, text).map(document => document.customer);
 */
export function decodeIni<Desc extends DescMessage>(
    desc: Desc,
    text: string,
): Result<MessageShape<Desc>, readonly InputError[]> {
    const index = indexLines(text);
    const decoding: Decoding = { index, errors: [...index.duplicates] };
    const tree = parse(text);
    decoding.errors.push(...findDropped(tree, index));
    const json = convertMessage(desc, tree, "", decoding);
    if (decoding.errors.length > 0) {
        return err(decoding.errors);
    }
    const message = fromJson(desc, json);
    const violations = findViolations(desc, message, index);
    return violations.length > 0 ? err(violations) : ok(message);
}

/** Finds what stands in the text but not in the tree, such as names that the INI library does not take. */
function findDropped(tree: IniTree, index: LineIndex): readonly InputError[] {
    return [...index.lines]
        .filter(([path]) => path.split(".").includes("__proto__") || !hasPath(tree, path.split(".")))
        .map(([path, line]) => ({
            kind: "unknown-key",
            message: `Line ${line}: '${path}' is a name that cannot be used. Choose another one.`,
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

function convertMessage(desc: DescMessage, tree: IniTree, path: string, decoding: Decoding): JsonObject {
    const json: JsonObject = {};
    for (const [key, raw] of Object.entries(tree)) {
        const field = desc.fields.find(candidate => candidate.name === key);
        const fieldPath = path === "" ? key : `${path}.${key}`;
        if (field === undefined) {
            decoding.errors.push(unknownKey(desc, key, fieldPath, decoding.index));
            continue;
        }
        const value = convertField(field, raw, fieldPath, decoding);
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
    decoding: Decoding,
): JsonValue | undefined {
    if (field.fieldKind === "map") {
        return isTree(raw) ? convertMap(field, raw, path, decoding) : badValue(path, "a section", decoding);
    }
    if (field.fieldKind === "message") {
        return isTree(raw)
            ? convertMessage(field.message, raw, path, decoding)
            : badValue(path, "a section", decoding);
    }
    if (isTree(raw)) {
        return badValue(path, "a value, not a section", decoding);
    }
    if (field.fieldKind === "list") {
        const parts = String(raw).split(",").map(part => part.trim()).filter(part => part !== "");
        return parts.map(part => convertValue(field, part, path, decoding) ?? "");
    }
    return convertValue(field, raw, path, decoding);
}

function convertMap(
    field: DescField & { fieldKind: "map" },
    tree: IniTree,
    path: string,
    decoding: Decoding,
): JsonObject {
    const json: JsonObject = {};
    for (const [key, raw] of Object.entries(tree)) {
        const entryPath = `${path}.${key}`;
        if (!isTree(raw)) {
            const remedy = field.message
                ? nearestText(key, field.message.fields.map(entry => entry.name))
                : undefined;
            decoding.errors.push({
                kind: "unknown-key",
                message: `Line ${lineOf(decoding.index, entryPath)}: '${key}' stands directly in '${path}'. `
                    + `Put it into a section such as '[${path}.NAME]'.`,
                line: lineOf(decoding.index, entryPath),
                key: entryPath,
                nearest: remedy,
            });
            continue;
        }
        json[key] = convertMessage(field.message!, raw, entryPath, decoding);
    }
    return json;
}

function convertValue(
    field: DescField,
    raw: unknown,
    path: string,
    decoding: Decoding,
): JsonValue | undefined {
    const result = convertScalar(field, raw);
    return result.isOk() ? result.value : badValue(path, result.error, decoding);
}

function isTree(raw: unknown): raw is IniTree {
    return typeof raw === "object" && raw !== null && !Array.isArray(raw);
}

function badValue(path: string, expected: string, decoding: Decoding): undefined {
    const line = lineOf(decoding.index, path);
    const message = `Line ${line}: '${path}' has a value that does not fit. Write ${expected}.`;
    decoding.errors.push({ kind: "bad-value", message, line, key: path });
    return undefined;
}

function unknownKey(desc: DescMessage, key: string, path: string, index: LineIndex): InputError {
    const names = desc.fields.map(field => field.name);
    const nearest = nearestText(key, names);
    const line = lineOf(index, path);
    const remedy = nearest === undefined
        ? `Use one of ${names.map(name => `'${name}'`).join(", ")}.`
        : `Write '${nearest}' instead.`;
    return {
        kind: "unknown-key",
        message: `Line ${line}: '${path}' is not known. ${remedy}`,
        line,
        key: path,
        nearest,
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
        const path = violation.field.map(step => pathStep(step)).filter(step => step !== "").join(".");
        const line = lineOf(index, path);
        const text =
            `Line ${line}: '${path}' breaks a constraint: ${violation.message}. Change it to a value that fits.`;
        return { kind: "constraint", message: text, line, key: path } as const;
    });
}

function pathStep(step: { kind: string }): string {
    if (step.kind === "map_sub" && "key" in step) {
        return String(step.key);
    }
    return step.kind === "field" && "name" in step ? String(step.name) : "";
}
