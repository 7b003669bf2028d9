import neostandard from 'neostandard'
import tseslint from 'typescript-eslint'

const namespaceImportsOnly = [
  {
    selector: 'ImportDeclaration > ImportSpecifier',
    message: 'Use a namespace import: import * as x from \'module\'.'
  },
  {
    selector: 'ImportDeclaration > ImportDefaultSpecifier',
    message: 'Use a namespace import: import * as x from \'module\'.'
  }
]

const platformGlobals = ['setTimeout', 'setInterval', 'setImmediate', 'process', 'fetch', 'performance', 'console']

export default [
  { ignores: ['target/**', '**/lib/**', '**/node_modules/**', '**/generated/**'] },
  ...neostandard({ ts: true }),
  ...tseslint.configs.strict.map(config => ({ ...config, files: ['**/*.ts'] })),
  {
    files: ['**/*.ts'],
    rules: {
      'no-restricted-syntax': ['error', ...namespaceImportsOnly],
      'max-lines': ['error', { max: 400, skipBlankLines: false, skipComments: false }],
      '@typescript-eslint/explicit-member-accessibility': ['error', { overrides: { constructors: 'no-public' } }],
      '@typescript-eslint/explicit-function-return-type': ['error', { allowExpressions: true }],
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'memberLike', modifiers: ['private'], format: ['camelCase'], leadingUnderscore: 'require' },
        { selector: 'typeLike', format: ['PascalCase'] }
      ],
      '@typescript-eslint/no-extraneous-class': 'off',
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/consistent-type-imports': 'off'
    }
  },
  {
    files: ['packages/common/src/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      // The core receives time, randomness and messages as arguments, so that runs can be replayed.
      'no-restricted-globals': ['error', 'Date', ...platformGlobals],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random' }],
      'no-restricted-imports': ['error', { patterns: ['node:*'] }]
    }
  }
]
