import type { ConfiguredCell, GuaranteeDivision } from "@balsamward/placement";
import type { Configuration, Document } from "@balsamward/schema";

/** A configuration in force with what follows from it. */
export type Configured = {
    readonly configuration: Configuration;
    readonly document: Document;
    readonly division: GuaranteeDivision;
    /** The cells of the fleet that the document states. */
    readonly cells: readonly ConfiguredCell[];
    /** The customer of each token digest. */
    readonly customers: ReadonlyMap<string, string>;
    /** The customers of tokens that were seen; never larger than `MAX_SEEN_TOKENS`. */
    readonly seenTokens: Map<string, string>;
};
