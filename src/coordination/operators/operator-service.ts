import type {
  ApplyRequest,
  ApplyResponse,
  GetConfigResponse,
  GetSplitResponse,
  ProposeSplitRequest,
  ReplaceWitnessesRequest,
  SetDrainRequest,
  SplitResponse
} from '../../protocol/generated/egretpaddle/operator/v1/operator.js'
import { failure, success, type Result } from '../../shared/result.js'
import type { TimerService } from '../../shared/timer-service.js'
import { acceptSplit, applyDeclaration, listWaitingPartners, proposeSplit, setDrain, type ConfigTransition } from '../../state/config-change.js'
import { listDifferences, type FieldDifference } from '../../state/config-difference.js'
import { redactConfig } from '../../state/config-redaction.js'
import { parseDeclaration, type Declaration } from '../../state/fleet-config-schema.js'
import type { FleetConfig } from '../../state/fleet-config.js'
import { formatProblem } from '../../state/schema-problems.js'
import { replaceWitnesses } from '../../state/witness-plan.js'
import { ChangeOutcomeKind, type StoredConfigChange } from '../config/change-outcome.js'
import type { ConfigKeeper } from '../config/config-keeper.js'
import type { ChangeRequest } from '../config/config-writer.js'
import type { MembershipView } from '../ports/membership-view.js'
import { fromChangeError, fromWriteError, OperatorErrorKind, type OperatorError } from './operator-error.js'
import { findOperator, type OperatorIdentity } from './operator-identity.js'

export interface OperatorServiceOptions {
  readonly keeper: Pick<ConfigKeeper, 'getConfig' | 'change'>
  readonly membership: MembershipView
  readonly timers: TimerService
}

type Outcome<T> = Promise<Result<T, OperatorError>>

/** Operations for operators. The caller authenticates the operator first. */
export interface OperatorService {
  /** Returns the operator with the secret. */
  authenticate (secret: string): Result<OperatorIdentity, OperatorError>
  getConfig (operator: OperatorIdentity): Result<GetConfigResponse, OperatorError>
  getSplit (): Result<GetSplitResponse, OperatorError>
  apply (operator: OperatorIdentity, request: ApplyRequest): Outcome<ApplyResponse>
  proposeSplit (operator: OperatorIdentity, request: ProposeSplitRequest): Outcome<SplitResponse>
  acceptSplit (operator: OperatorIdentity, expectedVersion: number): Outcome<SplitResponse>
  setDrain (operator: OperatorIdentity, request: SetDrainRequest): Outcome<ApplyResponse>
  replaceWitnesses (operator: OperatorIdentity, request: ReplaceWitnessesRequest): Outcome<ApplyResponse>
}

/** Creates the operator service, which reads and changes the configuration through the node's keeper. */
export function createOperatorService ({ keeper, membership, timers }: OperatorServiceOptions): OperatorService {
  function readConfig (): Result<FleetConfig, OperatorError> {
    const config = keeper.getConfig()
    return config === undefined ? refuse(OperatorErrorKind.Unavailable, 'this node has no configuration yet') : success(config)
  }

  async function change (request: ChangeRequest): Outcome<StoredConfigChange> {
    const outcome = await keeper.change(request)
    return outcome.kind === ChangeOutcomeKind.Failed ? failure(fromWriteError(outcome.error)) : success(outcome)
  }

  async function changeConfig (operator: OperatorIdentity, request: Omit<ChangeRequest, 'changedBy'>): Outcome<ApplyResponse> {
    let differences: FieldDifference[] = []
    const stored = await change({
      ...request,
      changedBy: formatOperator(operator),
      transition: config => {
        const changed = request.transition(config)
        if (!changed.isOk) return changed
        differences = listVisibleDifferences(config, changed.value, operator)
        return listDifferences(config, changed.value).length === 0 ? success(config) : changed
      }
    })
    if (!stored.isOk) return stored
    return success({ ...toNodeCounts(stored.value), version: stored.value.config.version, differences })
  }

  async function changeSplit (operator: OperatorIdentity, transition: ConfigTransition, expectedVersion: number): Outcome<SplitResponse> {
    const stored = await change({ transition, expectedVersion, changedBy: formatOperator(operator) })
    if (!stored.isOk) return stored
    const waitingForPartners = listWaitingPartners(stored.value.config)
    const counts = toNodeCounts(stored.value)
    const isInForce = counts.isInForce && waitingForPartners.length === 0
    return success({ ...counts, version: stored.value.config.version, isInForce, waitingForPartners })
  }

  function previewChange (operator: OperatorIdentity, transition: ConfigTransition): Result<ApplyResponse, OperatorError> {
    const config = readConfig()
    if (!config.isOk) return config
    const changed = transition(config.value)
    if (!changed.isOk) return failure(fromChangeError(changed.error))
    const differences = listVisibleDifferences(config.value, changed.value, operator)
    return success({ version: config.value.version, differences, confirmedNodeCount: 0, knownNodeCount: 0, isInForce: false })
  }

  return {
    authenticate (secret) {
      const config = readConfig()
      if (!config.isOk) return config
      const operator = findOperator(config.value, secret)
      return operator === undefined ? refuse(OperatorErrorKind.Unauthenticated, 'no operator has this secret') : success(operator)
    },
    getConfig (operator) {
      const config = readConfig()
      if (!config.isOk) return config
      return success({ version: config.value.version, configJson: JSON.stringify(redactConfig(config.value, operator.partner)) })
    },
    getSplit () {
      const config = readConfig()
      return config.isOk ? success(describeSplit(config.value)) : config
    },
    async apply (operator, request) {
      const declaration = parseDeclarationJson(request.declarationJson)
      if (!declaration.isOk) return declaration
      const transition: ConfigTransition = config => applyDeclaration(config, operator.partner, declaration.value)
      if (request.dryRun) return previewChange(operator, transition)
      return changeConfig(operator, { transition, expectedVersion: request.expectedVersion })
    },
    proposeSplit: (operator, request) => changeSplit(
      operator,
      config => proposeSplit(config, operator.partner, request.shares, timers.wallClockMs()),
      request.expectedVersion
    ),
    acceptSplit: (operator, expectedVersion) => changeSplit(
      operator,
      config => acceptSplit(config, operator.partner, timers.wallClockMs()),
      expectedVersion
    ),
    setDrain: (operator, request) => changeConfig(operator, {
      transition: config => setDrain(config, operator.partner, request.vmId, request.isDraining),
      expectedVersion: request.expectedVersion
    }),
    async replaceWitnesses (operator, request) {
      const config = readConfig()
      if (!config.isOk) return config
      const live = membership.getLiveNodes()
      const notListedAsEnded = listMissingWitnesses(config.value, live.map(node => node.nodeId)).filter(nodeId => !request.endedNodeIds.includes(nodeId))
      if (notListedAsEnded.length > 0) {
        return refuse(OperatorErrorKind.NotPossible, `these witnesses are neither live nor listed as ended: ${notListedAsEnded.join(', ')}; list each one after checking that its process has ended`)
      }
      return changeConfig(operator, {
        transition: current => success(replaceWitnesses(current, live)),
        expectedVersion: request.expectedVersion,
        skipsWitnessCheck: true
      })
    }
  }
}

function listMissingWitnesses (config: FleetConfig, liveNodeIds: readonly string[]): string[] {
  const configured = new Set([...config.witnesses ?? [], ...config.formerWitnesses ?? []])
  return [...configured].filter(nodeId => !liveNodeIds.includes(nodeId))
}

function parseDeclarationJson (json: string): Result<Declaration, OperatorError> {
  let value: unknown
  try {
    value = JSON.parse(json)
  } catch {
    return refuse(OperatorErrorKind.Invalid, 'the declaration is not JSON')
  }
  const parsed = parseDeclaration(value)
  return parsed.isOk ? parsed : refuse(OperatorErrorKind.Invalid, parsed.error.map(formatProblem).join('\n'))
}

function describeSplit (config: FleetConfig): GetSplitResponse {
  return {
    version: config.version,
    shares: [...config.split.shares],
    proposedShares: [...config.proposal?.split.shares ?? []],
    agreedBy: [...config.proposal?.agreedBy ?? []],
    history: config.splitHistory.map(entry => ({ version: entry.version, shares: [...entry.split.shares], acceptedAtMs: entry.acceptedAtMs }))
  }
}

function listVisibleDifferences (before: FleetConfig, after: FleetConfig, operator: OperatorIdentity): FieldDifference[] {
  return listDifferences(redactConfig(before, operator.partner), redactConfig(after, operator.partner))
}

function toNodeCounts (stored: StoredConfigChange): { confirmedNodeCount: number, knownNodeCount: number, isInForce: boolean } {
  return {
    confirmedNodeCount: stored.confirmedNodeCount,
    knownNodeCount: stored.knownNodeCount,
    isInForce: stored.kind === ChangeOutcomeKind.InForce
  }
}

function formatOperator (operator: OperatorIdentity): string {
  return `${operator.partner}/${operator.name}`
}

function refuse (kind: OperatorErrorKind, message: string): Result<never, OperatorError> {
  return failure({ kind, message })
}
