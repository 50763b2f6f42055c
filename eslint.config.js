import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'src/protocol/generated/**', 'coverage/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      'no-redeclare': 'off',
      'no-void': ['error', { allowAsStatement: true }]
    }
  }
]
