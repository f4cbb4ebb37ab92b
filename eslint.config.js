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
      "max-lines-per-function": ["error", 75],
      complexity: ["error", 38],
    },
  },
  // Packages are new, so they keep to lower limits, and all their public items are described.
  {
    files: ["packages/*/src/**/*.ts", "src/service/shards/**/*.ts", "src/cli/**/*.ts"],
    rules: {
      "max-lines": ["error", 400],
      "max-lines-per-function": ["error", 60],
      complexity: ["error", 16],
    },
  },
  // Modules of the core in which every public item has a doc comment; the others are to follow.
  {
    files: [
      "src/core/heartbeats/attempt-results.ts",
      "src/core/cluster/cluster-attempts.ts",
      "src/core/cluster/cluster-indices.ts",
      "src/core/cluster/cluster-jobs.ts",
      "src/core/cluster/cluster-machines.ts",
      "src/core/cluster/cluster-state.ts",
      "src/core/cluster/cluster.ts",
      "src/core/scheduler/decisions.ts",
      "src/core/placement/quota.ts",
      "src/core/scheduler/scheduler.ts",
      "src/core/shards/shard-drain.ts",
      "src/core/shards/shard-keys.ts",
      "src/core/scheduler/summary.ts",
      "packages/*/src/**/*.ts",
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
