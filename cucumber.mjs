export default {
    paths: [
        "packages/*/src/**/*.feature",
        "platform/src/**/*.feature",
        "platform/soak/*.feature",
        "features/**/*.feature",
        "specs/**/*.feature",
    ],
    import: [
        "features/support/**/*.ts",
        "packages/*/src/**/*.steps.ts",
        "platform/src/**/*.steps.ts",
        "platform/soak/*.steps.ts",
        "features/**/*.steps.ts",
        "specs/**/*.steps.ts",
    ],
    format: ["progress"],
    strict: true,
};
