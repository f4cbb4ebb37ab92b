import js from "@eslint/js";
import tseslint from "typescript-eslint";

export default tseslint.config(
  { ignores: ["target/", "node_modules/", "journal/"] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  { files: ["**/*.ts"], rules: { "@typescript-eslint/no-non-null-assertion": "off" } },
);
