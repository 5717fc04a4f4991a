/** The store keys that operators write. */
export type OperatorKeys = {
    /** Prefix of all of them. */
    readonly prefix: string;
    /** Key of the configuration. */
    readonly configuration: string;
    /** Returns the data centre whose evacuation a key requests; `undefined` for any other key. */
    readonly decodeEvacuation: (key: string) => string | undefined;
};
