import type { GuaranteeDivision, NominalCell } from "@balsamward/placement";
import type { Configuration, Document } from "@balsamward/schema";

/** A configuration in force with what follows from it. */
export type ActiveConfiguration = {
    readonly configuration: Configuration;
    readonly document: Document;
    readonly guaranteeDivision: GuaranteeDivision;
    /** The cells of the fleet that the document states. */
    readonly cells: readonly NominalCell[];
    /** The customer of each token digest. */
    readonly customersByTokenDigest: ReadonlyMap<string, string>;
    /** The customers of tokens that were seen; never larger than `MAX_CACHED_TOKENS`. */
    readonly customersByToken: Map<string, string>;
};
