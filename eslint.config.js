import js from "@eslint/js";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

export default tseslint.config(
  { ignores: ["target/", "node_modules/", "journal/"] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  { files: ["**/*.ts"], rules: { "@typescript-eslint/no-non-null-assertion": "off" } },
  // The longest file, function and decision of the core today: lower these as the code shrinks.
  {
    files: ["src/core/**/*.ts"],
    rules: {
      "max-lines": ["error", 364],
      "max-lines-per-function": ["error", 73],
      complexity: ["error", 38],
    },
  },
  // Modules of the core in which every public item has a doc comment; the others are to follow.
  {
    files: [
      "src/core/attempt-results.ts",
      "src/core/cluster-holds.ts",
      "src/core/cluster-indices.ts",
      "src/core/cluster-jobs.ts",
      "src/core/cluster-machines.ts",
      "src/core/cluster-state.ts",
      "src/core/cluster.ts",
      "src/core/decisions.ts",
      "src/core/quota.ts",
      "src/core/scheduler.ts",
      "src/core/summary.ts",
    ],
    plugins: { jsdoc },
    rules: {
      "jsdoc/require-jsdoc": [
        "error",
        {
          publicOnly: true,
          contexts: [
            "TSInterfaceDeclaration",
            "TSTypeAliasDeclaration",
            "ExportNamedDeclaration > VariableDeclaration",
          ],
          require: { ClassDeclaration: true, MethodDefinition: true },
        },
      ],
    },
  },
);
