/** One invalid field of a settings file. */
export interface SettingsProblem {
  /** Dotted path of the field, such as `callers.port`. */
  readonly path: string
  /** The value found there, shortened, or a description of it. */
  readonly found: string
  /** Description of the allowed values. */
  readonly allowed: string
}

export enum SettingsErrorKind {
  FileUnreadable = 'fileUnreadable',
  SyntaxError = 'syntaxError',
  InvalidFields = 'invalidFields'
}

/** Why settings could not be loaded. */
export type SettingsError =
  | { readonly kind: SettingsErrorKind.FileUnreadable, readonly path: string, readonly reason: string }
  | { readonly kind: SettingsErrorKind.SyntaxError, readonly line: number, readonly column: number, readonly reason: string }
  | { readonly kind: SettingsErrorKind.InvalidFields, readonly problems: readonly SettingsProblem[] }

/** Describes the error in one line, or in one line for each invalid field. */
export function describeSettingsError (error: SettingsError): string[] {
  switch (error.kind) {
    case SettingsErrorKind.FileUnreadable:
      return [`file "${error.path}" is not readable: ${error.reason}`]
    case SettingsErrorKind.SyntaxError:
      return [`line ${error.line}, column ${error.column}: ${error.reason}`]
    case SettingsErrorKind.InvalidFields:
      return error.problems.map(problem => `field "${problem.path}": found ${problem.found}; allowed: ${problem.allowed}`)
  }
}
