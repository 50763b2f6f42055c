import { z } from 'zod'

import { failure, success, type Result } from '../shared/result.js'
import type { FleetConfig, Partner, PartnerShare } from './fleet-config.js'
import { describeIssues, type FieldProblem } from './schema-problems.js'

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'lower case letters, digits, ".", "_" and "-", at most 63 characters')
const sha256Hex = z.string().regex(/^[0-9a-f]{64}$/, 'SHA-256 digest as 64 lower case hexadecimal digits')
const weight = z.number().positive().max(1_000_000)
const count = z.int().min(0).max(100_000)
const durationMs = z.int().min(1).max(3_600_000)

export const teamSchema = z.strictObject({ name, weight })

export const credentialSchema = z.strictObject({ sha256Hex, team: name })

export const operatorCredentialSchema = z.strictObject({ sha256Hex, name })

const partnerFields = {
  teams: z.array(teamSchema),
  credentials: z.array(credentialSchema),
  operators: z.array(operatorCredentialSchema).min(1),
  groupDowntimeWeight: weight,
  strandedAcceleratorWeight: weight
}

const deploymentFields = {
  name,
  model: z.string().min(1).max(200),
  modelVersion: z.string().min(1).max(200),
  membersPerGroup: z.int().min(1).max(64),
  groupCount: count,
  slotsPerGroup: z.int().min(1).max(4096),
  availabilityZones: z.array(name).min(1),
  doesEngineCheckEpoch: z.boolean(),
  defaultDeadlineMs: durationMs
}

const serviceRouteSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  path: z.string().regex(/^\/\S*$/, 'path that starts with "/"'),
  isRepeatable: z.boolean()
})

const serviceFields = {
  name,
  routes: z.array(serviceRouteSchema).min(1),
  timeoutMs: durationMs,
  statusPath: z.string().regex(/^\/\S*\{key\}\S*$/, 'path that starts with "/" and holds "{key}"').optional()
}

export const partnerShareSchema = z.strictObject({
  partner: name,
  capacityPercent: z.int().min(0).max(100),
  priority: z.int().min(0).max(1000)
})

const splitSchema = z.strictObject({ shares: z.array(partnerShareSchema) })

/** What one partner declares about its own part of the fleet. */
export const declarationSchema = z.strictObject({
  partner: name,
  ...partnerFields,
  deployments: z.array(z.strictObject(deploymentFields)),
  services: z.array(z.strictObject(serviceFields))
})

/** A valid declaration of one partner. */
export type Declaration = z.infer<typeof declarationSchema>

const version = z.int().min(1)

/** The stored configuration. */
export const fleetConfigSchema = z.strictObject({
  version,
  changeToken: z.string().min(1),
  partners: z.array(z.strictObject({ name, ...partnerFields })),
  deployments: z.array(z.strictObject({ partner: name, ...deploymentFields })),
  services: z.array(z.strictObject({ partner: name, ...serviceFields })),
  drainingVmIds: z.array(z.string().min(1)),
  drainMarks: z.array(z.strictObject({ vmId: z.string().min(1), partner: name })).optional(),
  split: splitSchema,
  proposal: z.strictObject({ split: splitSchema, proposedBy: name, agreedBy: z.array(name) }).optional(),
  splitHistory: z.array(z.strictObject({ version, split: splitSchema, acceptedAtMs: z.number() })),
  witnesses: z.array(z.string().min(1)).optional(),
  formerWitnesses: z.array(z.string().min(1)).optional(),
  settledVersion: z.int().min(0).optional(),
  changeLog: z.array(z.strictObject({ version, changeToken: z.string().min(1), changedBy: z.string() })).optional()
})

/** Validates a declaration; the error lists every invalid field. */
export function parseDeclaration (value: unknown): Result<Declaration, readonly FieldProblem[]> {
  const parsed = declarationSchema.safeParse(value, { reportInput: true })
  if (!parsed.success) return failure(describeIssues(declarationSchema, parsed.error.issues))
  const problems = listDeclarationProblems(parsed.data)
  return problems.length === 0 ? success(parsed.data) : failure(problems)
}

/** Validates a whole configuration including its cross references; the error lists every invalid field. */
export function parseFleetConfig (value: unknown): Result<FleetConfig, readonly FieldProblem[]> {
  const parsed = fleetConfigSchema.safeParse(value, { reportInput: true })
  if (!parsed.success) return failure(describeIssues(fleetConfigSchema, parsed.error.issues))
  const problems = listConfigProblems(parsed.data)
  return problems.length === 0 ? success(parsed.data) : failure(problems)
}

/** Validates a whole configuration given as JSON text. */
export function parseFleetConfigJson (json: string): Result<FleetConfig, readonly FieldProblem[]> {
  try {
    return parseFleetConfig(JSON.parse(json))
  } catch {
    return failure([{ path: '', found: `${json.length} characters`, allowed: 'JSON text' }])
  }
}

function listDeclarationProblems (declaration: Declaration): FieldProblem[] {
  return [
    ...listTeamProblems(declaration, ''),
    ...listDuplicates('deployments', declaration.deployments.map(deployment => deployment.name)),
    ...listDuplicates('services', declaration.services.map(service => service.name))
  ]
}

function listConfigProblems (config: FleetConfig): FieldProblem[] {
  const partners = config.partners.map(partner => partner.name)
  const unknownOwners = [...config.deployments, ...config.services]
    .filter(item => !partners.includes(item.partner))
    .map(item => ({ path: `${item.name}.partner`, found: `"${item.partner}"`, allowed: listNames(partners) }))
  return [
    ...listDuplicates('partners', partners),
    ...config.partners.flatMap((partner, index) => listTeamProblems(partner, `partners[${index}].`)),
    ...listDuplicates('deployments', config.deployments.map(deployment => deployment.name)),
    ...listDuplicates('services', config.services.map(service => service.name)),
    ...unknownOwners,
    ...listShareProblems(config.split.shares, partners, 'split.shares'),
    ...listShareProblems(config.proposal?.split.shares ?? config.split.shares, partners, 'proposal.split.shares')
  ]
}

/** Lists the problems of a split: every partner needs exactly one share, and the shares must add up to 100 percent. */
export function listShareProblems (shares: readonly PartnerShare[], partners: readonly string[], path: string): FieldProblem[] {
  const names = shares.map(share => share.partner)
  const problems = listDuplicates(path, names)
  for (const partner of names.filter(partner => !partners.includes(partner))) {
    problems.push({ path, found: `partner "${partner}"`, allowed: listNames(partners) })
  }
  for (const partner of partners.filter(partner => !names.includes(partner))) {
    problems.push({ path, found: `no share of partner "${partner}"`, allowed: 'one share for each partner' })
  }
  const sum = shares.reduce((total, share) => total + share.capacityPercent, 0)
  if (sum !== 100) problems.push({ path, found: `a sum of ${sum}`, allowed: 'capacityPercent values that add up to 100' })
  return problems
}

function listTeamProblems (partner: Pick<Partner, 'teams' | 'credentials'>, prefix: string): FieldProblem[] {
  const teams = partner.teams.map(team => team.name)
  const unknownTeams = partner.credentials.flatMap((credential, index) => teams.includes(credential.team)
    ? []
    : [{ path: `${prefix}credentials[${index}].team`, found: `"${credential.team}"`, allowed: listNames(teams) }])
  return [...listDuplicates(`${prefix}teams`, teams), ...unknownTeams]
}

function listDuplicates (path: string, names: readonly string[]): FieldProblem[] {
  const repeated = names.filter((entry, index) => names.indexOf(entry) !== index)
  return [...new Set(repeated)].map(entry => ({ path, found: `"${entry}" more than once`, allowed: 'unique names' }))
}

function listNames (names: readonly string[]): string {
  return `one of ${names.map(entry => `"${entry}"`).join(', ')}`
}
