import js from "@eslint/js";
import { createTypeScriptImportResolver } from "eslint-import-resolver-typescript";
import { importX } from "eslint-plugin-import-x";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

/** A doc comment on every exported item and public member. */
const describedItems = {
  publicOnly: true,
  checkConstructors: false,
  contexts: [
    "TSInterfaceDeclaration",
    "TSTypeAliasDeclaration",
    "ExportNamedDeclaration > VariableDeclaration",
  ],
  require: { ClassDeclaration: true, MethodDefinition: true },
};

/** Sizes that a reader can hold in mind. */
const sizes = (lines) => ({
  "max-lines": ["error", lines],
  "max-lines-per-function": ["error", 50],
  complexity: ["error", 15],
});

export default tseslint.config(
  { ignores: ["target/", "node_modules/", "journal/"] },
  js.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    files: ["**/*.ts"],
    languageOptions: {
      parserOptions: { project: ["./tsconfig.lint.json"], tsconfigRootDir: import.meta.dirname },
    },
    plugins: { "import-x": importX, jsdoc },
    settings: {
      "import-x/parsers": { "@typescript-eslint/parser": [".ts"] },
      "import-x/extensions": [".ts"],
      "import-x/resolver-next": [createTypeScriptImportResolver({ project: "tsconfig.lint.json" })],
    },
    rules: {
      "import-x/no-cycle": "error",
      "jsdoc/require-jsdoc": ["error", describedItems],
      "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true }],
      "@typescript-eslint/no-confusing-void-expression": ["error", { ignoreArrowShorthand: true }],
      "@typescript-eslint/dot-notation": ["error", { allowIndexSignaturePropertyAccess: true }],
      "@typescript-eslint/no-floating-promises": [
        "error",
        {
          allowForKnownSafeCalls: [
            { from: "package", package: "node:test", name: ["test", "before", "after"] },
          ],
        },
      ],
    },
  },
  { files: ["**/*.js"], ...tseslint.configs.disableTypeChecked },
  { files: ["src/**/*.ts", "packages/*/src/**/*.ts"], rules: sizes(400) },
  { files: ["test/**/*.ts", "packages/*/test/**/*.ts"], rules: sizes(600) },
  // Layers: the core knows neither sockets nor services, and a package knows nothing of `src/`.
  {
    files: ["src/core/**/*.ts"],
    rules: {
      "no-restricted-imports": ["error", { patterns: ["**/io/*", "**/service/*", "**/cli/*", "node:*"] }],
    },
  },
  {
    files: ["packages/*/src/**/*.ts"],
    rules: { "no-restricted-imports": ["error", { patterns: ["**/src/*", "node:*"] }] },
  },
  // Not met yet, with the number of places: these go as the code is taken up.
  {
    files: ["src/**/*.ts"],
    rules: {
      // 5: wire values typed as present are checked all the same, and fields that change between two steps
      "@typescript-eslint/no-unnecessary-condition": "off",
      // 4: codecs are objects of functions without `this`
      "@typescript-eslint/unbound-method": "off",
      // 2 each: the longer form says what it distinguishes
      "@typescript-eslint/prefer-optional-chain": "off",
      "@typescript-eslint/prefer-nullish-coalescing": "off",
    },
  },
  {
    // 9: controllers, workers and faults of the seeded model call one another, as they did within one file
    files: ["test/model/**/*.ts"],
    rules: { "import-x/no-cycle": "off" },
  },
  {
    files: ["test/**/*.ts", "packages/*/test/**/*.ts"],
    rules: {
      // 136
      "@typescript-eslint/no-non-null-assertion": "off",
      // 110, most of them fixtures and parts of the model
      "jsdoc/require-jsdoc": "off",
      // 52
      "@typescript-eslint/no-confusing-void-expression": "off",
      // 19 functions of up to 115 lines; 8 of complexity up to 31
      "max-lines-per-function": ["error", 115],
      complexity: ["error", 31],
      // 16 together
      "@typescript-eslint/no-unnecessary-condition": "off",
      "@typescript-eslint/no-unnecessary-type-parameters": "off",
      "@typescript-eslint/no-unsafe-assignment": "off",
      "@typescript-eslint/no-unsafe-return": "off",
      "@typescript-eslint/unbound-method": "off",
      "@typescript-eslint/prefer-optional-chain": "off",
      "@typescript-eslint/no-meaningless-void-operator": "off",
      "@typescript-eslint/prefer-string-starts-ends-with": "off",
      "@typescript-eslint/consistent-indexed-object-style": "off",
    },
  },
);
