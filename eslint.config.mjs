import stylistic from "@stylistic/eslint-plugin";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "packages/schema/src/generated/**", "target/**"] },
    ...tseslint.configs.recommended,
    {
        plugins: { "@stylistic": stylistic },
        rules: {
            "@stylistic/quotes": ["error", "double", { avoidEscape: true }],
            "@stylistic/semi": ["error", "always"],
            "@stylistic/brace-style": ["error", "stroustrup", { allowSingleLine: false }],
            "@stylistic/max-len": ["error", {
                code: 120,
                ignoreUrls: true,
                ignoreTemplateLiterals: true,
                ignoreStrings: true,
            }],
            "@stylistic/one-var-declaration-per-line": ["error", "always"],
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "separate-type-imports" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
                {
                    selector: "variable",
                    modifiers: ["const", "global"],
                    format: ["camelCase", "UPPER_CASE", "PascalCase"],
                },
                { selector: "variable", format: ["camelCase"] },
            ],
            "@typescript-eslint/no-unused-vars": ["error", { args: "after-used" }],
            curly: ["error", "all"],
            eqeqeq: "error",
            "max-lines": ["error", { max: 350, skipComments: true }],
            "max-lines-per-function": ["error", { max: 80, skipComments: true }],
            "no-var": "error",
            "one-var": ["error", "never"],
            "prefer-const": "error",
        },
    },
    {
        files: ["packages/**", "features/**", "demo/**"],
        rules: {
            "no-restricted-imports": ["error", {
                patterns: [{
                    group: ["@balsamward/platform", "**/platform/**"],
                    message: "Only the adapter knows the platform. Use a port of the scheduler.",
                }],
            }],
        },
    },
    {
        files: ["**/*.steps.ts", "demo/**"],
        rules: { "max-lines-per-function": "off", "max-lines": "off" },
    },
);
