import type { ConfiguredCell, GuaranteeDivision } from "@balsamward/placement";
import type { Configuration, Document } from "@balsamward/schema";

/** A configuration in force with the data derived from it. */
export type ActiveConfiguration = {
    readonly configuration: Configuration;
    readonly document: Document;
    readonly guaranteeDivision: GuaranteeDivision;
    /** The cells of the fleet that the document describes. */
    readonly cells: readonly ConfiguredCell[];
    /** The customer of each token's SHA-256 digest. */
    readonly customersByTokenDigest: ReadonlyMap<string, string>;
    /** Cache of the customers of valid tokens; holds at most `MAX_CACHED_TOKENS` entries. */
    readonly customersByToken: Map<string, string>;
};
