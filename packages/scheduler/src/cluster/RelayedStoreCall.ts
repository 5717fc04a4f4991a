import type { RelayStoreCallRequestSchema, RelayStoreCallResponse } from "@balsamward/schema/scheduling";
import type { MessageInitShape } from "@bufbuild/protobuf";

/** Message that asks a peer to make a store call. */
export type RelayedCall = NonNullable<MessageInitShape<typeof RelayStoreCallRequestSchema>["call"]>;

/** A store call in the form that a peer can make. */
export type RelayedStoreCall<T> = {
    readonly call: RelayedCall;
    /** Returns the result of the call from the peer's response, which reports no error. */
    readonly decode: (response: RelayStoreCallResponse) => T;
    /** Whether the call may be made a second time although the first may have taken effect. */
    readonly isRepeatable: boolean;
    /** Time for which the store may wait before it answers, in milliseconds. */
    readonly waitMs: number;
};
