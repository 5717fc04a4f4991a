import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { IDENTIFIER_PATTERN } from "./constants.js";

declare const brand: unique symbol;

/** A text that has been validated as an identifier of the branded type. */
export type Identifier<Brand extends string> = string & { readonly [brand]: Brand };

export type CellId = Identifier<"CellId">;
export type CustomerId = Identifier<"CustomerId">;
export type DataCentreId = Identifier<"DataCentreId">;
export type EndpointId = Identifier<"EndpointId">;
export type GuaranteeId = Identifier<"GuaranteeId">;
export type JobId = Identifier<"JobId">;
export type KindId = Identifier<"KindId">;
export type NodeId = Identifier<"NodeId">;
export type WorkerId = Identifier<"WorkerId">;

/** The error of a text that is not an identifier. */
export type IdentifierError = { kind: "bad-identifier"; message: string };

/**
 * Validates a text as an identifier.
 *
 * An identifier has 1 to 128 lowercase letters, digits and hyphens, and starts with a letter or a digit.
 *
 * @param text - The text to validate.
 * @returns The identifier, or `bad-identifier`.
 *
 * @example
 * parseIdentifier<CustomerId>("front-desks").isOk(); // true
 */
export function parseIdentifier<T extends Identifier<string>>(text: string): Result<T, IdentifierError> {
    if (IDENTIFIER_PATTERN.test(text)) {
        return ok(text as T);
    }
    return err({
        kind: "bad-identifier",
        message: `'${
            text.slice(0, 140)
        }' is not a valid identifier. Use 1 to 128 lowercase letters, digits and hyphens.`,
    });
}
