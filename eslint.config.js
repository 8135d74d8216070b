import neostandard from 'neostandard'

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.ts'],
    rules: {
      // Statements of the form `void promise` mark promises that are deliberately not awaited.
      'no-void': ['error', { allowAsStatement: true }],
      // The rule does not see changes made by callbacks.
      'no-unmodified-loop-condition': 'off',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-explicit-any': 'error'
    }
  }
]
