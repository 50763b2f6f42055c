/** One field that differs between two documents. */
export interface FieldDifference {
  /** Path like `deployments[draft].groupCount`; list items appear under a name, partner, digest or other identifying field. */
  readonly path: string
  /** JSON text before the change; empty when the field was absent. */
  readonly before: string
  /** JSON text after the change; empty when the field is absent. */
  readonly after: string
}

type JsonObject = Record<string, unknown>

const identityFields = ['name', 'partner', 'vmId', 'sha256Hex', 'version']

/** Lists the fields in which two JSON documents differ, ordered by path. */
export function listDifferences (before: unknown, after: unknown): FieldDifference[] {
  const left = flatten(before)
  const right = flatten(after)
  return [...new Set([...left.keys(), ...right.keys()])]
    .sort()
    .filter(path => left.get(path) !== right.get(path))
    .map(path => ({ path, before: left.get(path) ?? '', after: right.get(path) ?? '' }))
}

function flatten (document: unknown): Map<string, string> {
  const leaves = new Map<string, string>()
  collect(document, '', leaves)
  return leaves
}

function collect (value: unknown, path: string, leaves: Map<string, string>): void {
  if (value === undefined) return
  if (Array.isArray(value) && value.length > 0 && value.every(isObject)) {
    value.forEach((item, index) => collect(item, `${path}[${getIdentity(item, index)}]`, leaves))
    return
  }
  if (isObject(value)) {
    for (const [key, field] of Object.entries(value)) collect(field, path === '' ? key : `${path}.${key}`, leaves)
    return
  }
  // An empty list counts as one field, like a scalar.
  leaves.set(path, JSON.stringify(value))
}

function getIdentity (item: JsonObject, index: number): string {
  if (typeof item['method'] === 'string') return `${item['method']} ${String(item['path'])}`
  const field = identityFields.find(candidate => item[candidate] !== undefined)
  return field === undefined ? String(index) : String(item[field])
}

function isObject (value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
